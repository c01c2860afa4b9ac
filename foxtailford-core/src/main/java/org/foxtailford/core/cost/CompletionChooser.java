package org.foxtailford.core.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;

/**
 * Chooses the upstream at which a request is most likely to meet its latency target, then the one
 * that is expected to complete it first. Addresses requests of unequal cost on upstreams of unequal
 * and changing speed.
 *
 * <p>It compares the upstreams that have just reported to this VM, which no other VM knows as well,
 * and a few others at random, in proportion to their speed. If all VMs compared all upstreams by
 * the same outdated reports, they would all send to the same ones. Not thread-safe.
 */
public final class CompletionChooser {

  /**
   * Random draws from the upstreams; about half of them are compared. With 6 draws, 300 VMs that
   * know little of each upstream overload the slow ones at 0.85 of the capacity.
   */
  private static final int DRAWS = 40;

  /** Speed from which a drawn upstream is always compared. */
  private static final double FULL_SPEED = 2;

  /** Cost of missing the latency target, as a multiple of the target. */
  private static final double MISS_COST = 4;

  private static final double MAX_RANDOM_PENALTY = 0.2;

  private final DoubleSupplier random;
  private final int draws;

  /**
   * Creates a chooser.
   *
   * @param random source of numbers from 0 to 1
   */
  public CompletionChooser(DoubleSupplier random) {
    this(random, DRAWS);
  }

  /** Creates a chooser with a given number of random draws; few where VMs share reports. */
  CompletionChooser(DoubleSupplier random, int draws) {
    this.random = Assert.notNull(random, "random");
    this.draws = draws;
  }

  /**
   * What is expected of the request that is to be sent.
   *
   * @param cost distribution of its cost
   * @param typical distribution of the costs of its service
   * @param leftMs time until its latency target ends, in milliseconds; negative if it has passed
   */
  public record Expected(CostDistribution cost, CostDistribution typical, double leftMs) {}

  /**
   * Chooses an upstream; empty if no candidate has room.
   *
   * @param hasRoom whether a candidate is usable and can take one more request
   * @param penaltyMs cost of using a candidate in addition to its time, in milliseconds
   */
  public Optional<UpstreamEntry> choose(
      List<UpstreamEntry> candidates,
      Function<UpstreamEntry, UpstreamBacklog> backlogs,
      Predicate<UpstreamEntry> hasRoom,
      ToDoubleFunction<UpstreamEntry> penaltyMs,
      Expected expected,
      long nowMs) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    List<UpstreamEntry> compared = new ArrayList<>();
    for (UpstreamEntry candidate : candidates) {
      if (backlogs.apply(candidate).isFresh(nowMs) && hasRoom.test(candidate)) {
        compared.add(candidate);
      }
    }
    for (int i = 0; i < draws; i++) {
      double draw = random.getAsDouble() * candidates.size();
      UpstreamEntry drawn = candidates.get((int) draw);
      double fraction = draw - (int) draw; // random as well
      double speed = backlogs.apply(drawn).presentSpeed(nowMs);
      if (fraction * FULL_SPEED < speed && hasRoom.test(drawn)) {
        compared.add(drawn);
      }
    }
    if (compared.isEmpty()) {
      candidates.stream().filter(hasRoom).forEach(compared::add);
    }
    UpstreamEntry best = null;
    double bestMs = Double.MAX_VALUE;
    for (UpstreamEntry candidate : compared) {
      double estimatedMs =
          costMs(backlogs.apply(candidate), expected, penaltyMs.applyAsDouble(candidate), nowMs);
      double randomizedMs = estimatedMs * (1 + MAX_RANDOM_PENALTY * random.getAsDouble());
      if (randomizedMs < bestMs) {
        best = candidate;
        bestMs = randomizedMs;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double costMs(
      UpstreamBacklog backlog, Expected expected, double penaltyMs, long nowMs) {
    double speed = backlog.presentSpeed(nowMs);
    double waitMs = backlog.waitMs(expected.typical(), speed, nowMs) + penaltyMs;
    CostDistribution cost = expected.cost();
    double completionMs = waitMs + cost.meanMs() / speed;
    double leftMs = expected.leftMs();
    if (leftMs <= 0) {
      return completionMs;
    }
    double missed = cost.probabilityAbove((leftMs - waitMs) * speed);
    double excessMs = Math.max(0, cost.meanMs() - expected.typical().meanMs()) / speed;
    double blockingMs = excessMs * waitMs / (waitMs + expected.typical().meanMs());
    return completionMs + blockingMs + MISS_COST * leftMs * missed;
  }
}
