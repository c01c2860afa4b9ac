package org.foxtailford.core.placement;

import java.util.List;

/**
 * Changes that one placement round makes, in the order merges, splits, moves. A move may refer to a
 * part of a split.
 *
 * @param merges slices to merge
 * @param splits slices to split, in this order; a split may refer to a part of an earlier one
 * @param moves ownership changes; unowned slices first
 */
public record PlacementPlan(
    List<SliceMerge> merges, List<SliceSplit> splits, List<SliceMove> moves) {

  /** Plan without changes. */
  public static final PlacementPlan NONE = new PlacementPlan(List.of(), List.of(), List.of());

  public PlacementPlan {
    merges = List.copyOf(merges);
    splits = List.copyOf(splits);
    moves = List.copyOf(moves);
  }
}
