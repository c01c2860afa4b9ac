package org.foxtailford.core.configuration;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDelta;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.ServiceDefinition;

/** Computes and applies the deltas in which entry VMs send each other configuration versions. */
public final class ConfigurationDeltas {

  private ConfigurationDeltas() {}

  /**
   * Returns the delta that turns one version into another: the items that were added or changed,
   * and the names of the items that were removed. Both documents must be in canonical order.
   */
  public static ConfigurationDelta between(ConfigurationVersion from, ConfigurationVersion to) {
    ConfigurationDocument old = from.getRecord().getDocument();
    ConfigurationDocument updated = to.getRecord().getDocument();
    ConfigurationDocument changed =
        ConfigurationDocument.newBuilder()
            .addAllServices(changed(old.getServicesList(), updated.getServicesList()))
            .addAllVms(changed(old.getVmsList(), updated.getVmsList()))
            .addAllDataCentres(changed(old.getDataCentresList(), updated.getDataCentresList()))
            .build();
    return ConfigurationDelta.newBuilder()
        .setFromVersion(from.getVersion())
        .setToVersion(to.getVersion())
        .setRecord(to.getRecord().toBuilder().setDocument(changed))
        .addAllRemovedServices(
            removed(old.getServicesList(), updated.getServicesList(), ServiceDefinition::getName))
        .addAllRemovedVms(removed(old.getVmsList(), updated.getVmsList(), LabelledVm::getName))
        .addAllRemovedDataCentres(
            removed(
                old.getDataCentresList(),
                updated.getDataCentresList(),
                LabelledDataCentre::getName))
        .build();
  }

  private static <T> List<T> changed(List<T> old, List<T> updated) {
    Set<T> oldItems = Set.copyOf(old);
    return updated.stream().filter(item -> !oldItems.contains(item)).toList();
  }

  private static <T> List<String> removed(
      List<T> old, List<T> updated, Function<T, String> nameOf) {
    Set<String> names = updated.stream().map(nameOf).collect(Collectors.toSet());
    return old.stream().map(nameOf).filter(name -> !names.contains(name)).toList();
  }

  /**
   * Returns the version that results from applying a delta; its document is in canonical order.
   *
   * @throws IllegalArgumentException if the delta is based on another version than {@code from}
   */
  public static ConfigurationVersion apply(ConfigurationVersion from, ConfigurationDelta delta) {
    Assert.isTrue(from.getVersion() == delta.getFromVersion(), "delta is based on another version");
    ConfigurationDocument old = from.getRecord().getDocument();
    ConfigurationDocument changed = delta.getRecord().getDocument();
    ConfigurationDocument document =
        ConfigurationDocument.newBuilder()
            .addAllServices(
                merge(
                    old.getServicesList(),
                    changed.getServicesList(),
                    delta.getRemovedServicesList(),
                    ServiceDefinition::getName))
            .addAllVms(
                merge(
                    old.getVmsList(),
                    changed.getVmsList(),
                    delta.getRemovedVmsList(),
                    LabelledVm::getName))
            .addAllDataCentres(
                merge(
                    old.getDataCentresList(),
                    changed.getDataCentresList(),
                    delta.getRemovedDataCentresList(),
                    LabelledDataCentre::getName))
            .build();
    return ConfigurationVersion.newBuilder()
        .setVersion(delta.getToVersion())
        .setRecord(delta.getRecord().toBuilder().setDocument(document))
        .build();
  }

  private static <T> Iterable<T> merge(
      List<T> old, List<T> changed, List<String> removed, Function<T, String> nameOf) {
    Map<String, T> items = new TreeMap<>();
    old.forEach(item -> items.put(nameOf.apply(item), item));
    removed.forEach(items::remove);
    changed.forEach(item -> items.put(nameOf.apply(item), item));
    return items.values();
  }
}
