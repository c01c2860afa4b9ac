package org.foxtailford.core.upstream;

import java.util.Collection;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.foxtailford.core.util.Assert;

/**
 * Chooses the upstream with the lowest expected answer time among those with capacity.
 *
 * <p>Handles unequal, slow and full upstreams. A small random penalty keeps the entry VMs from
 * choosing the same upstream simultaneously.
 */
public final class UpstreamChooser {

  private static final double MAX_RANDOM_PENALTY = 0.2;

  private final DoubleSupplier random;

  /**
   * Creates a chooser.
   *
   * @param random source of numbers from 0 to 1
   */
  public UpstreamChooser(DoubleSupplier random) {
    this.random = Assert.notNull(random, "random");
  }

  /**
   * Chooses an upstream; empty if every candidate is suspended or has no capacity.
   *
   * @param candidates upstreams to choose from
   * @param loads returns the load of a candidate
   * @param hasRoom whether a candidate can take one more request
   * @param penaltyMs cost of using a candidate in addition to its answer time, in milliseconds
   * @param serviceTypicalMs typical answer time of the service, in milliseconds; used for upstreams
   *     without answers yet
   */
  public Optional<UpstreamEntry> choose(
      Collection<UpstreamEntry> candidates,
      Function<UpstreamEntry, UpstreamLoad> loads,
      Predicate<UpstreamEntry> hasRoom,
      Function<UpstreamEntry, Double> penaltyMs,
      double serviceTypicalMs,
      long nowMs) {
    UpstreamEntry best = null;
    double bestMs = Double.MAX_VALUE;
    for (UpstreamEntry candidate : candidates) {
      UpstreamLoad load = loads.apply(candidate);
      if (load.isSuspended(nowMs) || !hasRoom.test(candidate)) {
        continue;
      }
      double estimatedMs = load.expectedMs(serviceTypicalMs, nowMs) + penaltyMs.apply(candidate);
      double randomizedMs = estimatedMs * (1 + MAX_RANDOM_PENALTY * random.getAsDouble());
      if (randomizedMs < bestMs) {
        best = candidate;
        bestMs = randomizedMs;
      }
    }
    return Optional.ofNullable(best);
  }
}
