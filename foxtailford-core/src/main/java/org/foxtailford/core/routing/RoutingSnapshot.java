package org.foxtailford.core.routing;

import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.OwnershipMap;

/**
 * Snapshot of the state on which routing decisions are based. Immutable.
 *
 * @param dataCentre data centre of this VM
 * @param configuration configuration in force
 * @param homes home data centres of key ranges
 * @param owners owners of the slices of this data centre
 */
public record RoutingSnapshot(
    String dataCentre, ConfigurationView configuration, HomeDirectory homes, OwnershipMap owners) {

  /** Returns the snapshot of a VM that has no configuration, homes or owners yet. */
  public static RoutingSnapshot initial(String dataCentre) {
    return new RoutingSnapshot(
        dataCentre,
        ConfigurationView.empty(),
        HomeDirectory.empty(),
        OwnershipMap.empty(dataCentre));
  }

  /** Returns whether a configuration is known. */
  public boolean isReady() {
    return configuration.version() > 0;
  }

  public RoutingSnapshot withConfiguration(ConfigurationView value) {
    return new RoutingSnapshot(dataCentre, value, homes, owners);
  }

  public RoutingSnapshot withHomes(HomeDirectory value) {
    return new RoutingSnapshot(dataCentre, configuration, value, owners);
  }

  public RoutingSnapshot withOwners(OwnershipMap value) {
    return new RoutingSnapshot(dataCentre, configuration, homes, value);
  }
}
