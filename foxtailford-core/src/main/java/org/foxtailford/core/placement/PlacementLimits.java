package org.foxtailford.core.placement;

import org.foxtailford.core.util.Assert;

/**
 * Bounds on the changes of one placement round, and the imbalance that triggers and ends them.
 *
 * <p>Imbalance is the load of the most loaded upstream divided by the mean load, both relative to
 * capacity.
 *
 * @param maxMoves maximum number of slices that change owner to balance load
 * @param maxDrainMoves maximum number of slices that leave draining upstreams
 * @param maxLayoutChanges maximum number of splits, and also of merges
 * @param maxSlicesPerUpstream mean number of slices per accepting upstream above which no slice is
 *     split
 * @param triggerImbalance imbalance above which an upstream gives slices away
 * @param targetImbalance imbalance at which it stops giving them away; at least 1 and below {@code
 *     triggerImbalance}
 */
public record PlacementLimits(
    int maxMoves,
    int maxDrainMoves,
    int maxLayoutChanges,
    int maxSlicesPerUpstream,
    double triggerImbalance,
    double targetImbalance) {

  private static final int UPSTREAMS_PER_MOVE = 64;
  private static final int UPSTREAMS_PER_CHANGE = 32;
  private static final int MIN_MOVES = 2;
  private static final int MIN_CHANGES = 8;
  private static final int SLICES_PER_UPSTREAM = 24;
  private static final double TRIGGER_IMBALANCE = 1.17;
  private static final double TARGET_IMBALANCE = 1.13;

  public PlacementLimits {
    boolean bounds = maxMoves >= 0 && maxDrainMoves >= 0 && maxLayoutChanges >= 0;
    Assert.isTrue(bounds, "maxMoves, maxDrainMoves and maxLayoutChanges must not be negative");
    Assert.isTrue(maxSlicesPerUpstream > 0, "maxSlicesPerUpstream must be positive");
    boolean ordered = 1 <= targetImbalance && targetImbalance < triggerImbalance;
    Assert.isTrue(ordered, "targetImbalance must be at least 1 and below triggerImbalance");
  }

  /**
   * Returns the default limits for a service.
   *
   * @param upstreams number of its upstreams in one data centre
   */
  public static PlacementLimits forUpstreams(int upstreams) {
    int changes = Math.max(MIN_CHANGES, upstreams / UPSTREAMS_PER_CHANGE);
    return new PlacementLimits(
        Math.max(MIN_MOVES, upstreams / UPSTREAMS_PER_MOVE),
        changes,
        changes,
        SLICES_PER_UPSTREAM,
        TRIGGER_IMBALANCE,
        TARGET_IMBALANCE);
  }

  /** Returns a copy of these limits that allows neither splits nor merges. */
  public PlacementLimits withoutLayoutChanges() {
    return new PlacementLimits(
        maxMoves, maxDrainMoves, 0, maxSlicesPerUpstream, triggerImbalance, targetImbalance);
  }
}
