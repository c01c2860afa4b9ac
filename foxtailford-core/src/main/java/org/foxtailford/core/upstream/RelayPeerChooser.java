package org.foxtailford.core.upstream;

import java.util.Collection;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Chooses the entry VM that serves a request for one that reaches no upstream for it.
 *
 * <p>Load pattern: most or all VMs of a data centre are cut off at once. Those refuse what is
 * relayed to them without delay, so they always look idle, and they are nearer than the VMs that
 * can serve it. A peer that stated that it is cut off is therefore left out until it states
 * otherwise; single trials, at intervals, find out when that is. Not thread-safe.
 */
public final class RelayPeerChooser {

  /** Load of a peer in another data centre, relative to one here; bytes between them are billed. */
  private static final double REMOTE_FACTOR = 2;

  /** Interval between trials of peers that stated that they are cut off, in milliseconds. */
  static final long TRIAL_INTERVAL_MS = 100;

  /** Time after the statement or trial of a peer until it is tried again, in milliseconds. */
  static final long STATEMENT_MS = 1000;

  private final MillisClock clock;
  private final DoubleSupplier random;
  private long nextTrialMs;

  /**
   * Creates a chooser.
   *
   * @param random source of numbers from 0 to 1, for the choice among equals
   */
  public RelayPeerChooser(MillisClock clock, DoubleSupplier random) {
    this.clock = Assert.notNull(clock, "clock");
    this.random = Assert.notNull(random, "random");
    this.nextTrialMs = clock.nowMs();
  }

  /**
   * Chooses a peer; empty if there is none that might serve a request.
   *
   * @param peers peers that were not asked to serve the request
   * @param fitness returns what is known of a peer
   * @param local whether a peer is in the data centre of this VM
   * @param repeatable whether the request can be sent to one more peer if a trial fails
   */
  public <T> Optional<T> choose(
      Collection<T> peers, Function<T, RelayPeer> fitness, Predicate<T> local, boolean repeatable) {
    long nowMs = clock.nowMs();
    T best = null;
    double bestLoad = Double.MAX_VALUE;
    T trial = null;
    for (T peer : peers) {
      RelayPeer known = fitness.apply(peer);
      if (known.isAvoided(nowMs)) {
        continue;
      }
      if (known.isCutOff()) {
        if (isTrialDue(known, nowMs) && isEarlier(known, trial, fitness)) {
          trial = peer;
        }
        continue;
      }
      double factor = local.test(peer) ? 1 : REMOTE_FACTOR;
      double load = factor * (known.inFlight() + 1) + random.getAsDouble() / 2;
      if (load < bestLoad) {
        best = peer;
        bestLoad = load;
      }
    }
    if (trial == null || best != null && !repeatable) {
      return Optional.ofNullable(best);
    }
    nextTrialMs = nowMs + TRIAL_INTERVAL_MS;
    fitness.apply(trial).recordTrial(nowMs);
    return Optional.of(trial);
  }

  private boolean isTrialDue(RelayPeer peer, long nowMs) {
    return nowMs >= nextTrialMs && nowMs - peer.triedMs() >= STATEMENT_MS;
  }

  private static <T> boolean isEarlier(RelayPeer peer, T other, Function<T, RelayPeer> fitness) {
    return other == null || peer.triedMs() < fitness.apply(other).triedMs();
  }
}
