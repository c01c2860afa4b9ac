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
 * Performs the steps that {@link ConfigurationPropagation} returns: reads the configuration from
 * the table and exchanges configuration messages with other entry VMs.
 *
 * <p>Not thread-safe: all methods must be called on the control executor.
 */
public final class ConfigurationExchange {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigurationPropagation propagation;
  private final ConfigurationPoller poller;
  private final ActiveConfiguration activeConfiguration;
  private final PeerMessenger peers;
  private final MillisClock clock;
  private final Executor control;

  public ConfigurationExchange(
      ConfigurationPropagation propagation,
      ConfigurationPoller poller,
      ActiveConfiguration activeConfiguration,
      PeerMessenger peers,
      MillisClock clock,
      Executor control) {
    this.propagation = Assert.notNull(propagation, "propagation");
    this.poller = Assert.notNull(poller, "poller");
    this.activeConfiguration = Assert.notNull(activeConfiguration, "activeConfiguration");
    this.peers = Assert.notNull(peers, "peers");
    this.clock = Assert.notNull(clock, "clock");
    this.control = Assert.notNull(control, "control");
  }

  /**
   * Updates the members and performs the steps that are due.
   *
   * @param tree dissemination tree of the live entry VMs of this data centre
   * @param localPeers entry VMs of this data centre that have an open link
   * @param remotePeers entry VMs of other data centres that have an open link
   */
  public void tick(
      DisseminationTree tree, Collection<String> localPeers, Collection<String> remotePeers) {
    propagation.setMembers(tree, localPeers, remotePeers);
    perform(propagation.tick());
  }

  /** Reads the table immediately, for example after this VM wrote a change. */
  public void refresh() {
    readTable();
  }

  /**
   * Handles a configuration message of a peer.
   *
   * @param sender VM name of the peer
   * @param frame any peer message
   * @return whether the frame was a configuration message
   */
  public boolean onFrame(String sender, PeerFrame frame) {
    if (frame.hasConfigurationDigest()) {
      perform(propagation.onDigest(sender, frame.getConfigurationDigest()));
    } else if (frame.hasConfigurationPull()) {
      perform(propagation.onPull(sender, frame.getConfigurationPull()));
    } else if (frame.hasConfigurationDelta()) {
      perform(propagation.onDelta(frame.getConfigurationDelta()));
    } else if (frame.hasConfigurationVersion()) {
      perform(propagation.onSnapshot(frame.getConfigurationVersion()));
    } else {
      return false;
    }
    return true;
  }

  private void perform(List<PropagationStep> steps) {
    steps.forEach(this::perform);
  }

  private void perform(PropagationStep step) {
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
                perform(propagation.onTableRead(startedMs, activeConfiguration.version()));
              } else {
                logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "cannot read the configuration table: %s", failure.getMessage());
              }
            },
            control);
  }
}
