package org.foxtailford.daemon.peer;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailford.core.configuration.ActiveConfiguration;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.control.ConfigurationSightings;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PeerHeartbeat;

/**
 * Provides the versions of configuration and owners for heartbeats, and the owner updates for peers
 * of the same data centre that hold an older version.
 */
public final class SharedVersions implements HeartbeatExchange.VersionedState {

  private final String dataCentre;
  private final ActiveConfiguration activeConfiguration;
  private final ConfigurationSightings sightings;
  private final OwnerDisseminator owners;
  private final Supplier<Optional<Long>> leadingEpoch;

  /**
   * Creates the versioned state of this VM.
   *
   * @param dataCentre data centre of this VM
   * @param activeConfiguration active configuration of this VM
   * @param sightings records the configuration versions of other entry VMs
   * @param owners owners of this data centre
   * @param leadingEpoch supplies the epoch in which this VM leads, or empty if it does not lead
   */
  public SharedVersions(
      String dataCentre,
      ActiveConfiguration activeConfiguration,
      ConfigurationSightings sightings,
      OwnerDisseminator owners,
      Supplier<Optional<Long>> leadingEpoch) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.activeConfiguration = Assert.notNull(activeConfiguration, "activeConfiguration");
    this.sightings = Assert.notNull(sightings, "sightings");
    this.owners = Assert.notNull(owners, "owners");
    this.leadingEpoch = Assert.notNull(leadingEpoch, "leadingEpoch");
  }

  @Override
  public void addVersions(PeerHeartbeat.Builder heartbeat) {
    heartbeat
        .setConfigurationVersion(activeConfiguration.version())
        .setOwnershipVersion(owners.version().toValue());
  }

  @Override
  public List<PeerFrame> updatesFor(PeerIdentity sender, PeerHeartbeat received) {
    sightings.add(sender.vm(), received.getConfigurationVersion());
    if (!sender.dataCentre().equals(dataCentre)) {
      return List.of();
    }
    return owners.updateFor(Fence.of(received.getOwnershipVersion())).stream().toList();
  }

  @Override
  public Optional<Long> leadingEpoch() {
    return leadingEpoch.get();
  }
}
