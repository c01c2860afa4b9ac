package org.foxtailford.core.placement;

import java.util.List;

/** Decides which slices change owner. Implementations have no side effects. */
@FunctionalInterface
public interface PlacementPolicy {

  /**
   * Plans one round.
   *
   * @param slices slices of one service, in the order of their ranges
   * @param upstreams names of the upstreams that may own slices, sorted
   * @return moves of this round; free slices first
   */
  List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams);

  /**
   * Plans one round with capacities and hot keys. A policy that knows of neither plans as if every
   * accepting upstream had the same capacity.
   */
  default PlacementPlan planRound(PlacementRound round) {
    List<SliceMove> moves = plan(round.slices(), round.acceptingNames());
    return new PlacementPlan(List.of(), List.of(), moves);
  }
}
