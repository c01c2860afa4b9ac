package org.foxtailford.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.configuration.ActiveConfiguration;
import org.foxtailford.core.configuration.ConfigurationPropagation;
import org.foxtailford.core.configuration.PropagationStep;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.peer.PeerMessenger;
import org.foxtailford.schema.PeerFrame;

/**
 * Carries out what {@link ConfigurationPropagation} decides: reads the table and exchanges
 * configurations with other entry VMs.
 *
 * <p>Not thread-safe: all calls run on the control executor.
 */
public final class ConfigurationExchange {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigurationPropagation propagation;
  private final ConfigurationPoller poller;
  private final ActiveConfiguration inForce;
  private final PeerMessenger peers;
  private final MillisClock clock;
  private final Executor control;

  public ConfigurationExchange(
      ConfigurationPropagation propagation,
      ConfigurationPoller poller,
      ActiveConfiguration inForce,
      PeerMessenger peers,
      MillisClock clock,
      Executor control) {
    this.propagation = Assert.notNull(propagation, "propagation");
    this.poller = Assert.notNull(poller, "poller");
    this.inForce = Assert.notNull(inForce, "inForce");
    this.peers = Assert.notNull(peers, "peers");
    this.clock = Assert.notNull(clock, "clock");
    this.control = Assert.notNull(control, "control");
  }

  /**
   * Runs one round.
   *
   * @param tree live entry VMs of this data centre
   * @param localPeers those of this data centre to which there is a link
   * @param remotePeers entry VMs of other data centres to which there is a link
   */
  public void tick(
      DisseminationTree tree, Collection<String> localPeers, Collection<String> remotePeers) {
    propagation.setMembers(tree, localPeers, remotePeers);
    carryOut(propagation.tick());
  }

  /** Reads the table at once, as after a change that this VM wrote. */
  public void refresh() {
    readTable();
  }

  /**
   * Receives a peer's message about configurations.
   *
   * @param sender name of the peer's VM
   * @param frame the message
   * @return whether it was one
   */
  public boolean onFrame(String sender, PeerFrame frame) {
    if (frame.hasConfigurationDigest()) {
      carryOut(propagation.onDigest(sender, frame.getConfigurationDigest()));
    } else if (frame.hasConfigurationPull()) {
      carryOut(propagation.onPull(sender, frame.getConfigurationPull()));
    } else if (frame.hasConfigurationDelta()) {
      carryOut(propagation.onDelta(frame.getConfigurationDelta()));
    } else if (frame.hasConfigurationVersion()) {
      carryOut(propagation.onSnapshot(frame.getConfigurationVersion()));
    } else {
      return false;
    }
    return true;
  }

  private void carryOut(List<PropagationStep> steps) {
    steps.forEach(this::carryOut);
  }

  private void carryOut(PropagationStep step) {
    if (step instanceof PropagationStep.ReadTable) {
      readTable();
    } else if (step instanceof PropagationStep.SendDigest digest) {
      send(digest.peer(), PeerFrame.newBuilder().setConfigurationDigest(digest.digest()));
    } else if (step instanceof PropagationStep.SendPull pull) {
      send(pull.peer(), PeerFrame.newBuilder().setConfigurationPull(pull.pull()));
    } else if (step instanceof PropagationStep.SendDelta delta) {
      send(delta.peer(), PeerFrame.newBuilder().setConfigurationDelta(delta.delta()));
    } else if (step instanceof PropagationStep.SendSnapshot snapshot) {
      send(snapshot.peer(), PeerFrame.newBuilder().setConfigurationVersion(snapshot.version()));
    }
  }

  private void send(String peer, PeerFrame.Builder frame) {
    peers.send(peer, frame.build());
  }

  private void readTable() {
    long startedMs = clock.nowMs();
    poller
        .pollConfiguration()
        .whenCompleteAsync(
            (read, failure) -> {
              if (failure == null) {
                carryOut(propagation.onTableRead(startedMs, inForce.version()));
              } else {
                logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "the table does not answer: %s", failure.getMessage());
              }
            },
            control);
  }
}
