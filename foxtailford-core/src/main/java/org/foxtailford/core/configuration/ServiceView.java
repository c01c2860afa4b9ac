package org.foxtailford.core.configuration;

import com.google.common.collect.Lists;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.ServiceDefinition;

/**
 * A service and the upstreams that its selector matches. Immutable.
 *
 * @param definition the service as configured
 * @param kinds its kinds of request by name
 * @param upstreams matching upstreams, sorted by name
 */
public record ServiceView(
    ServiceDefinition definition, Map<String, RequestKind> kinds, List<Upstream> upstreams) {

  /** Returns the upstreams of one data centre that may receive new work. */
  public List<Upstream> availableIn(String dataCentre) {
    return upstreams.stream()
        .filter(Upstream::available)
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .toList();
  }

  /** Returns the upstream with a name. */
  public Optional<Upstream> findUpstream(String name) {
    int index = Collections.binarySearch(Lists.transform(upstreams, Upstream::name), name);
    return index < 0 ? Optional.empty() : Optional.of(upstreams.get(index));
  }

  static ServiceView of(ServiceDefinition definition, List<Upstream> upstreams) {
    Map<String, RequestKind> kinds =
        definition.getKindsList().stream()
            .collect(Collectors.toUnmodifiableMap(RequestKind::getName, kind -> kind));
    return new ServiceView(definition, kinds, List.copyOf(upstreams));
  }
}
