package org.foxtailford.core.placement;

import java.util.List;

/**
 * Changes of one round. Merges are applied first, then splits, then moves; a move may name a part
 * of a split.
 *
 * @param merges slices to join
 * @param splits slices to divide, in this order; a later one may name a part of an earlier one
 * @param moves changes of owner; free slices first
 */
public record PlacementPlan(
    List<SliceMerge> merges, List<SliceSplit> splits, List<SliceMove> moves) {

  /** The plan that changes nothing. */
  public static final PlacementPlan NONE = new PlacementPlan(List.of(), List.of(), List.of());

  public PlacementPlan {
    merges = List.copyOf(merges);
    splits = List.copyOf(splits);
    moves = List.copyOf(moves);
  }
}
