package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.foxtailford.core.util.Assert;

/**
 * Decides in which renewal rounds this VM takes part in the election of its data centre's leader.
 *
 * <p>The holder of the lease and the candidates take part in every round. Any other VM reads the
 * row once in {@value #CHECK_INTERVAL_ROUNDS} rounds. If two successive checks find the same
 * version, it takes part in every round until the version changes, because all candidates may be
 * live but unable to reach the table. Not thread-safe.
 */
public final class ElectionScheduler {

  private static final int CHECK_INTERVAL_ROUNDS = 50;

  private final String self;
  private final LeaseElection election;
  private final LeaseCandidates candidates;
  private final Supplier<? extends Collection<String>> liveEntryVms;
  private int rounds;
  private long lastCheckedVersion = -1;
  private boolean stale;

  /**
   * Creates a scheduler.
   *
   * @param self name of this VM
   * @param election election that is run in the rounds in which this VM takes part
   * @param candidates chooses the candidates
   * @param liveEntryVms supplies the entry VMs of the data centre that are considered live
   */
  public ElectionScheduler(
      String self,
      LeaseElection election,
      LeaseCandidates candidates,
      Supplier<? extends Collection<String>> liveEntryVms) {
    this.self = Assert.hasLength(self, "self");
    this.election = Assert.notNull(election, "election");
    this.candidates = Assert.notNull(candidates, "candidates");
    this.liveEntryVms = Assert.notNull(liveEntryVms, "liveEntryVms");
  }

  /** Runs one round. Must be called once per renewal interval. */
  public void tick() {
    if (rounds++ % CHECK_INTERVAL_ROUNDS == 0) {
      checkRow();
    }
    if (stale && election.lastKnownVersion() != lastCheckedVersion) {
      stale = false;
    }
    if (stale || election.unsupersededLease().isPresent() || isCandidate()) {
      election.tick();
    }
  }

  /** Compares the row version with the previous check, and reads the row for the next one. */
  private void checkRow() {
    long version = election.lastKnownVersion();
    stale = version >= 0 && version == lastCheckedVersion;
    lastCheckedVersion = version;
    election.tick();
  }

  private boolean isCandidate() {
    Set<String> live = new HashSet<>(liveEntryVms.get());
    live.add(self);
    return candidates.choose(live).contains(self);
  }
}
