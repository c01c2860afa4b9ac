package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.foxtailford.core.util.Assert;

/**
 * Decides in which renewal rounds this VM takes part in the election of its data centre's leader.
 *
 * <p>A holder and the candidates take part in each. Every other VM looks once in {@value
 * #LOOK_EVERY_ROUNDS} rounds, and takes part in each from the second look on that shows the same
 * version of the row, until the version changes: all candidates may be alive and cut off from the
 * table. Not thread-safe.
 */
public final class ElectionScheduler {

  private static final int LOOK_EVERY_ROUNDS = 50;

  private final String self;
  private final LeaseElection election;
  private final LeaseCandidates candidates;
  private final Supplier<? extends Collection<String>> liveEntryVms;
  private int rounds;
  private long lookedAtVersion = -1;
  private boolean stale;

  /**
   * Creates the rounds.
   *
   * @param self name of this VM
   * @param election the election
   * @param candidates chooses the candidates
   * @param liveEntryVms gives the entry VMs of the data centre that seem live
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

  /** Runs one round. Called at every renewal interval. */
  public void tick() {
    if (rounds++ % LOOK_EVERY_ROUNDS == 0) {
      look();
    }
    if (stale && election.lastKnownVersion() != lookedAtVersion) {
      stale = false;
    }
    if (stale || election.unsupersededLease().isPresent() || isCandidate()) {
      election.tick();
    }
  }

  /** Compares with the look before, and reads the row for the next one. */
  private void look() {
    long version = election.lastKnownVersion();
    stale = version >= 0 && version == lookedAtVersion;
    lookedAtVersion = version;
    election.tick();
  }

  private boolean isCandidate() {
    Set<String> live = new HashSet<>(liveEntryVms.get());
    live.add(self);
    return candidates.choose(live).contains(self);
  }
}
