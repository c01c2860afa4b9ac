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
 * Decides how a node propagates configuration versions and learns new ones.
 *
 * <p>The live nodes of a data centre form the dissemination tree that heartbeats use as well, since
 * only neighbours in the tree are guaranteed to be connected. The first few nodes of the tree poll
 * the table. Every node sends its children a digest at each interval and as soon as a version
 * becomes active. A digest carries the age of the table read that confirmed the version. A node
 * that learns of a newer version pulls it, and receives a delta or the whole document. A node whose
 * last confirmation is too old asks random peers, and later reads the table itself, so that the
 * failure of tree nodes or pollers delays a version by a few intervals only.
 *
 * <p>Does no I/O. Not thread-safe: must be called from a single control thread.
 */
public final class ConfigurationPropagation {

  /** Number of random peers that a node with a stale confirmation asks per interval. */
  private static final int PULLS_WHEN_STALE = 2;

  /** One in this many of those pulls, on average, goes to a peer in another data centre. */
  private static final int PULLS_PER_REMOTE_PULL = 4;

  private final String self;
  private final PropagationTiming timing;
  private final ActiveConfiguration activeConfiguration;
  private final MillisClock clock;
  private final RandomGenerator random;
  private DisseminationTree tree;
  private List<String> local = List.of();
  private List<String> remote = List.of();
  private long confirmedAtMs;
  private long announcedVersion;
  private long nextDigestMs;

  /**
   * Creates the propagation logic of a node without known members.
   *
   * @param self name of this VM
   * @param timing intervals and limits
   * @param activeConfiguration holder that received versions are offered to
   * @param clock clock of this node, used for intervals and ages
   * @param random random generator for choosing peers and fallback readers
   */
  public ConfigurationPropagation(
      String self,
      PropagationTiming timing,
      ActiveConfiguration activeConfiguration,
      MillisClock clock,
      RandomGenerator random) {
    this.self = Assert.hasLength(self, "self");
    this.timing = Assert.notNull(timing, "timing");
    this.activeConfiguration = Assert.notNull(activeConfiguration, "activeConfiguration");
    this.clock = Assert.notNull(clock, "clock");
    this.random = Assert.notNull(random, "random");
    this.tree = DisseminationTree.singleton(self);
    this.confirmedAtMs = clock.nowMs() - timing.tableReadAfterMs();
    this.nextDigestMs = clock.nowMs();
  }

  /**
   * Replaces the live entry VMs.
   *
   * @param tree dissemination tree of this data centre's entry VMs
   * @param localPeers connected entry VMs of this data centre
   * @param remotePeers connected entry VMs of other data centres
   */
  public void setMembers(
      DisseminationTree tree, Collection<String> localPeers, Collection<String> remotePeers) {
    this.tree = Assert.notNull(tree, "tree");
    local = List.copyOf(localPeers);
    remote = List.copyOf(remotePeers);
  }

  /** Returns the time since the table last confirmed the active version, in milliseconds. */
  public long confirmedAgeMs() {
    return clock.nowMs() - confirmedAtMs;
  }

  /** Returns the steps that are due; must be called at least once per digest interval. */
  public List<PropagationStep> tick() {
    List<PropagationStep> steps = new ArrayList<>();
    announceActiveVersion(steps);
    long nowMs = clock.nowMs();
    if (nowMs < nextDigestMs) {
      return steps;
    }
    nextDigestMs = nowMs + timing.digestIntervalMs();
    tree.children(self).forEach(child -> steps.add(new SendDigest(child, digest())));
    if (shouldReadTable()) {
      steps.add(new ReadTable());
    }
    if (confirmedAgeMs() >= timing.staleAfterMs()) {
      for (int i = 0; i < PULLS_WHEN_STALE; i++) {
        randomPeer().ifPresent(peer -> steps.add(pull(peer)));
      }
    }
    return steps;
  }

  private boolean shouldReadTable() {
    if (tree.position(self).orElse(0) < timing.pollers()) {
      return true;
    }
    boolean isStale = confirmedAgeMs() >= timing.tableReadAfterMs();
    return isStale && random.nextInt(tree.size()) < timing.fallbackReads();
  }

  /**
   * Records a completed table read; it confirms the active version unless it found a newer one.
   *
   * @param startedMs reading of this node's clock when the read began
   * @param version version that the read found
   */
  public List<PropagationStep> onTableRead(long startedMs, long version) {
    if (version <= activeConfiguration.version()) {
      confirmedAtMs = Math.max(confirmedAtMs, startedMs);
    }
    List<PropagationStep> steps = new ArrayList<>();
    announceActiveVersion(steps);
    return steps;
  }

  /** Handles a peer's digest: pulls a newer version, or sends a digest to a peer that is behind. */
  public List<PropagationStep> onDigest(String sender, ConfigurationDigest digest) {
    List<PropagationStep> steps = new ArrayList<>();
    if (digest.getVersion() > activeConfiguration.version()) {
      steps.add(pull(sender));
    } else {
      confirmedAtMs = Math.max(confirmedAtMs, clock.nowMs() - digest.getConfirmedAgeMs());
      if (digest.getVersion() < activeConfiguration.version()) {
        steps.add(new SendDigest(sender, digest()));
      }
    }
    return steps;
  }

  /** Answers a peer's pull with a delta, a snapshot or, if it is up to date, a digest. */
  public List<PropagationStep> onPull(String sender, ConfigurationPull pull) {
    Optional<ConfigurationVersion> current = activeConfiguration.current();
    if (current.isEmpty() || current.get().getVersion() <= pull.getKnownVersion()) {
      return List.of(new SendDigest(sender, digest()));
    }
    return List.of(
        activeConfiguration
            .deltaSince(pull.getKnownVersion())
            .<PropagationStep>map(delta -> new SendDelta(sender, delta))
            .orElseGet(() -> new SendSnapshot(sender, current.get())));
  }

  /** Offers a received delta to the active configuration. */
  public List<PropagationStep> onDelta(ConfigurationDelta delta) {
    activeConfiguration.offer(delta);
    List<PropagationStep> steps = new ArrayList<>();
    announceActiveVersion(steps);
    return steps;
  }

  /** Offers a received snapshot to the active configuration. */
  public List<PropagationStep> onSnapshot(ConfigurationVersion version) {
    activeConfiguration.offer(version);
    List<PropagationStep> steps = new ArrayList<>();
    announceActiveVersion(steps);
    return steps;
  }

  /** Sends the neighbours in the tree a digest if the active version has changed since the last. */
  private void announceActiveVersion(List<PropagationStep> steps) {
    if (activeConfiguration.version() == announcedVersion) {
      return;
    }
    announcedVersion = activeConfiguration.version();
    tree.parent(self).ifPresent(parent -> steps.add(new SendDigest(parent, digest())));
    tree.children(self).forEach(child -> steps.add(new SendDigest(child, digest())));
  }

  private SendPull pull(String peer) {
    return new SendPull(
        peer,
        ConfigurationPull.newBuilder().setKnownVersion(activeConfiguration.version()).build());
  }

  private ConfigurationDigest digest() {
    return ConfigurationDigest.newBuilder()
        .setVersion(activeConfiguration.version())
        .setConfirmedAgeMs(confirmedAgeMs())
        .build();
  }

  private Optional<String> randomPeer() {
    boolean isRemote = !remote.isEmpty() && random.nextInt(PULLS_PER_REMOTE_PULL) == 0;
    List<String> peers = isRemote ? remote : local;
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(random.nextInt(peers.size())));
  }
}
