package org.foxtailford.core.placement;

import org.foxtailford.core.util.Assert;

/**
 * Bounds on what one round changes, and the imbalance that it aims at.
 *
 * <p>Imbalance is the load of the busiest upstream over the mean, each by capacity.
 *
 * @param maxMoves most slices that change owner to spread load
 * @param maxDrainMoves most slices that leave upstreams that are to be emptied
 * @param maxLayoutChanges most splits, and most merges
 * @param maxSlicesPerUpstream slices above which nothing is split
 * @param triggerImbalance imbalance above which slices move
 * @param targetImbalance imbalance at which they stop moving
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
    Assert.isTrue(bounds, "bounds must not be negative");
    Assert.isTrue(maxSlicesPerUpstream > 0, "maxSlicesPerUpstream must be positive");
    boolean ordered = 1 <= targetImbalance && targetImbalance < triggerImbalance;
    Assert.isTrue(ordered, "targetImbalance must be between 1 and triggerImbalance");
  }

  /** Returns the usual limits of a service with so many upstreams in one data centre. */
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

  /** Returns these limits with splits and merges ruled out. */
  public PlacementLimits withoutLayoutChanges() {
    return new PlacementLimits(
        maxMoves, maxDrainMoves, 0, maxSlicesPerUpstream, triggerImbalance, targetImbalance);
  }
}
