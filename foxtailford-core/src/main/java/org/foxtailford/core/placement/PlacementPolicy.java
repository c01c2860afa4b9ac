package org.foxtailford.core.placement;

import java.util.List;

/** Strategy that decides which slices change owner. Implementations have no side effects. */
@FunctionalInterface
public interface PlacementPolicy {

  /**
   * Plans the moves of one round without capacities, hot keys or layout changes.
   *
   * @param slices slices of one service, in the order of their ranges
   * @param upstreams names of the upstreams that may own slices, sorted
   * @return moves of this round, unowned slices first; empty if nothing is to move
   */
  List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams);

  /**
   * Plans one round with capacities and hot keys. The default implementation ignores both: it plans
   * moves only, as if all accepting upstreams had the same capacity.
   */
  default PlacementPlan planRound(PlacementRound round) {
    List<SliceMove> moves = plan(round.slices(), round.acceptingNames());
    return new PlacementPlan(List.of(), List.of(), moves);
  }
}
