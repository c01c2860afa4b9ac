package org.foxtailford.core.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.foxtailford.core.selector.LabelSelector;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.jspecify.annotations.Nullable;

/**
 * Services and upstreams that result from joining a configuration version with the VM list.
 * Immutable.
 */
public final class ConfigurationView {

  private final long version;
  private final ConfigurationDocument document;
  private final Map<String, ServiceView> services;
  private final Map<String, Upstream> upstreams;

  private ConfigurationView(
      long version,
      ConfigurationDocument document,
      Map<String, ServiceView> services,
      Map<String, Upstream> upstreams) {
    this.version = version;
    this.document = document;
    this.services = services;
    this.upstreams = upstreams;
  }

  /** Returns a view of version zero without services and upstreams. */
  public static ConfigurationView empty() {
    return new ConfigurationView(0, ConfigurationDocument.getDefaultInstance(), Map.of(), Map.of());
  }

  /**
   * Joins a configuration with the VM list.
   *
   * @param version number of the version
   * @param document document that has passed the check
   * @param vms VM list; only its upstreams are used
   */
  public static ConfigurationView of(long version, ConfigurationDocument document, VmList vms) {
    Map<String, LabelledVm> labelledVms =
        document.getVmsList().stream()
            .collect(Collectors.toMap(LabelledVm::getName, Function.identity()));
    Map<String, LabelledDataCentre> dataCentres =
        document.getDataCentresList().stream()
            .collect(Collectors.toMap(LabelledDataCentre::getName, Function.identity()));
    Map<String, Upstream> upstreams =
        vms.getVmsList().stream()
            .filter(vm -> vm.getRole() == VmRole.VM_ROLE_UPSTREAM)
            .map(vm -> join(vm, labelledVms.get(vm.getName()), dataCentres.get(vm.getDataCentre())))
            .collect(Collectors.toUnmodifiableMap(Upstream::name, Function.identity()));
    Map<String, ServiceView> services =
        document.getServicesList().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    ServiceDefinition::getName,
                    service -> ServiceView.of(service, select(service, upstreams))));
    return new ConfigurationView(version, document, services, upstreams);
  }

  private static Upstream join(
      VmEntry vm, @Nullable LabelledVm labelledVm, @Nullable LabelledDataCentre dataCentre) {
    Map<String, String> labels = new HashMap<>();
    boolean available = vm.getState() == VmState.VM_STATE_LIVE;
    if (dataCentre != null) {
      labels.putAll(dataCentre.getLabelsMap());
      available &= !dataCentre.getOut() && !dataCentre.getLost();
    }
    if (labelledVm != null) {
      labels.putAll(labelledVm.getLabelsMap());
      available &= !labelledVm.getDraining();
    }
    labels.put("vm", vm.getName());
    labels.put("data-centre", vm.getDataCentre());
    return new Upstream(
        vm.getName(), vm.getDataCentre(), vm.getAddress(), Map.copyOf(labels), available);
  }

  private static List<Upstream> select(ServiceDefinition service, Map<String, Upstream> upstreams) {
    LabelSelector selector = LabelSelector.parse(service.getSelector());
    return upstreams.values().stream()
        .filter(upstream -> selector.matches(upstream.labels()))
        .sorted(Comparator.comparing(Upstream::name))
        .toList();
  }

  /** Returns the number of the version; zero before any configuration is known. */
  public long version() {
    return version;
  }

  /** Returns the document of the version. */
  public ConfigurationDocument document() {
    return document;
  }

  /** Returns all services by name. */
  public Map<String, ServiceView> services() {
    return services;
  }

  /** Returns the service with the given name; empty if the document has none. */
  public Optional<ServiceView> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether an operator has declared that nothing runs in a data centre any more. */
  public boolean isLost(String dataCentre) {
    return document.getDataCentresList().stream()
        .anyMatch(entry -> entry.getName().equals(dataCentre) && entry.getLost());
  }

  /** Returns all upstreams of the VM list, in no particular order. */
  public Collection<Upstream> upstreams() {
    return upstreams.values();
  }

  /** Returns the upstream with the given VM name; empty if the VM list has none. */
  public Optional<Upstream> findUpstream(String name) {
    return Optional.ofNullable(upstreams.get(name));
  }
}
