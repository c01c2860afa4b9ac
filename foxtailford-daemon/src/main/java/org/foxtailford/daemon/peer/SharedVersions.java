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

/** Versions of this VM's configuration and owners, and what its neighbours lack of the owners. */
public final class SharedVersions implements HeartbeatExchange.VersionedState {

  private final String dataCentre;
  private final ActiveConfiguration inForce;
  private final ConfigurationSightings sightings;
  private final OwnerDisseminator owners;
  private final Supplier<Optional<Long>> leadingEpoch;

  /**
   * Creates the versions.
   *
   * @param dataCentre data centre of this VM
   * @param inForce configuration of this VM
   * @param sightings receives the configuration versions of others
   * @param owners owners of this data centre
   * @param leadingEpoch gives the epoch under which this VM leads
   */
  public SharedVersions(
      String dataCentre,
      ActiveConfiguration inForce,
      ConfigurationSightings sightings,
      OwnerDisseminator owners,
      Supplier<Optional<Long>> leadingEpoch) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.inForce = Assert.notNull(inForce, "inForce");
    this.sightings = Assert.notNull(sightings, "sightings");
    this.owners = Assert.notNull(owners, "owners");
    this.leadingEpoch = Assert.notNull(leadingEpoch, "leadingEpoch");
  }

  @Override
  public void addVersions(PeerHeartbeat.Builder heartbeat) {
    heartbeat
        .setConfigurationVersion(inForce.version())
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
