package org.foxtailford.core.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.foxtailford.core.configuration.PropagationStep.ReadTable;
import org.foxtailford.core.configuration.PropagationStep.SendDelta;
import org.foxtailford.core.configuration.PropagationStep.SendDigest;
import org.foxtailford.core.configuration.PropagationStep.SendPull;
import org.foxtailford.core.configuration.PropagationStep.SendSnapshot;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDelta;
import org.foxtailford.schema.ConfigurationDigest;
import org.foxtailford.schema.ConfigurationPull;
import org.foxtailford.schema.ConfigurationVersion;

/**
 * Decides how one node spreads and learns configurations.
 *
 * <p>The live nodes of a data centre form a tree, the same along which heartbeats travel, since
 * only its neighbours are sure to be linked. The first few nodes of it read the table; every node
 * sends its children a digest at each interval and at once when a version comes into force. A
 * digest carries the age of the table read that confirmed it. A node that hears of a newer version
 * pulls it, and receives a delta or the whole document. A node whose last confirmation is too old
 * asks random peers, and then the table, so that lost nodes of the tree or of the pollers delay a
 * version only by a few intervals.
 *
 * <p>Does no I/O. Not thread-safe: called by one control thread.
 */
public final class ConfigurationPropagation {

  private static final int PULLS_WHEN_STALE = 2;
  private static final int REMOTE_PULL_ONE_IN = 4;

  private final String self;
  private final PropagationTiming timing;
  private final ActiveConfiguration inForce;
  private final MillisClock clock;
  private final RandomGenerator random;
  private DisseminationTree tree;
  private List<String> local = List.of();
  private List<String> remote = List.of();
  private long confirmedMs;
  private long announcedVersion;
  private long nextDigestMs;

  /**
   * Creates the decisions of one node.
   *
   * @param self name of this VM
   * @param timing timing and shape
   * @param inForce configuration of this node
   * @param clock clock of this node
   * @param random source of the choice of peers
   */
  public ConfigurationPropagation(
      String self,
      PropagationTiming timing,
      ActiveConfiguration inForce,
      MillisClock clock,
      RandomGenerator random) {
    this.self = Assert.hasLength(self, "self");
    this.timing = Assert.notNull(timing, "timing");
    this.inForce = Assert.notNull(inForce, "inForce");
    this.clock = Assert.notNull(clock, "clock");
    this.random = Assert.notNull(random, "random");
    this.tree = DisseminationTree.alone(self);
    this.confirmedMs = clock.nowMs() - timing.tableAfterMs();
    this.nextDigestMs = clock.nowMs();
  }

  /**
   * Sets the live entry VMs.
   *
   * @param tree those of this data centre
   * @param localPeers those of this data centre to which there is a link
   * @param remotePeers those of other data centres to which there is a link
   */
  public void setMembers(
      DisseminationTree tree, Collection<String> localPeers, Collection<String> remotePeers) {
    this.tree = Assert.notNull(tree, "tree");
    local = List.copyOf(localPeers);
    remote = List.copyOf(remotePeers);
  }

  /** Returns the age of the last confirmation, in milliseconds. */
  public long confirmedAgeMs() {
    return clock.nowMs() - confirmedMs;
  }

  /** Returns what is to be done now; called at least once an interval. */
  public List<PropagationStep> tick() {
    List<PropagationStep> steps = new ArrayList<>();
    announce(steps);
    long nowMs = clock.nowMs();
    if (nowMs < nextDigestMs) {
      return steps;
    }
    nextDigestMs = nowMs + timing.digestIntervalMs();
    tree.children(self).forEach(child -> steps.add(new SendDigest(child, digest())));
    if (readsTable()) {
      steps.add(new ReadTable());
    }
    if (confirmedAgeMs() >= timing.staleAfterMs()) {
      for (int i = 0; i < PULLS_WHEN_STALE; i++) {
        randomPeer().ifPresent(peer -> steps.add(pull(peer)));
      }
    }
    return steps;
  }

  private boolean readsTable() {
    if (tree.place(self).orElse(0) < timing.pollers()) {
      return true;
    }
    boolean stale = confirmedAgeMs() >= timing.tableAfterMs();
    return stale && random.nextInt(tree.size()) < timing.fallbackReads();
  }

  /**
   * Notes a read of the table whose version is in force here, or older.
   *
   * @param startedMs reading of the clock before the read
   * @param version version that the table had; zero if it has none
   */
  public List<PropagationStep> onTableRead(long startedMs, long version) {
    if (version <= inForce.version()) {
      confirmedMs = Math.max(confirmedMs, startedMs);
    }
    List<PropagationStep> steps = new ArrayList<>();
    announce(steps);
    return steps;
  }

  /** Takes a peer's digest. */
  public List<PropagationStep> onDigest(String sender, ConfigurationDigest digest) {
    List<PropagationStep> steps = new ArrayList<>();
    if (digest.getVersion() > inForce.version()) {
      steps.add(pull(sender));
    } else {
      confirmedMs = Math.max(confirmedMs, clock.nowMs() - digest.getConfirmedAgeMs());
      if (digest.getVersion() < inForce.version()) {
        steps.add(new SendDigest(sender, digest()));
      }
    }
    return steps;
  }

  /** Answers a peer's pull. */
  public List<PropagationStep> onPull(String sender, ConfigurationPull pull) {
    Optional<ConfigurationVersion> current = inForce.current();
    if (current.isEmpty() || current.get().getVersion() <= pull.getKnownVersion()) {
      return List.of(new SendDigest(sender, digest()));
    }
    return List.of(
        inForce
            .deltaSince(pull.getKnownVersion())
            .<PropagationStep>map(delta -> new SendDelta(sender, delta))
            .orElseGet(() -> new SendSnapshot(sender, current.get())));
  }

  /** Takes the items that a peer sent. */
  public List<PropagationStep> onDelta(ConfigurationDelta delta) {
    inForce.offer(delta);
    List<PropagationStep> steps = new ArrayList<>();
    announce(steps);
    return steps;
  }

  /** Takes a whole version that a peer sent. */
  public List<PropagationStep> onSnapshot(ConfigurationVersion version) {
    inForce.offer(version);
    List<PropagationStep> steps = new ArrayList<>();
    announce(steps);
    return steps;
  }

  /** Tells the neighbours in the tree of a version that came into force since the last time. */
  private void announce(List<PropagationStep> steps) {
    if (inForce.version() == announcedVersion) {
      return;
    }
    announcedVersion = inForce.version();
    tree.parent(self).ifPresent(parent -> steps.add(new SendDigest(parent, digest())));
    tree.children(self).forEach(child -> steps.add(new SendDigest(child, digest())));
  }

  private SendPull pull(String peer) {
    return new SendPull(
        peer, ConfigurationPull.newBuilder().setKnownVersion(inForce.version()).build());
  }

  private ConfigurationDigest digest() {
    return ConfigurationDigest.newBuilder()
        .setVersion(inForce.version())
        .setConfirmedAgeMs(confirmedAgeMs())
        .build();
  }

  private Optional<String> randomPeer() {
    boolean far = !remote.isEmpty() && random.nextInt(REMOTE_PULL_ONE_IN) == 0;
    List<String> peers = far ? remote : local;
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(random.nextInt(peers.size())));
  }
}
