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
 * A service together with the upstreams that its selector matches. Immutable.
 *
 * @param definition configured definition of the service
 * @param kinds kinds of request by name
 * @param upstreams matching upstreams, sorted by name
 */
public record ServiceView(
    ServiceDefinition definition, Map<String, RequestKind> kinds, List<Upstream> upstreams) {

  /** Returns the upstreams of a data centre that may receive new work, sorted by name. */
  public List<Upstream> availableIn(String dataCentre) {
    return upstreams.stream()
        .filter(Upstream::available)
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .toList();
  }

  /** Returns the matching upstream with the given VM name; empty if there is none. */
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
