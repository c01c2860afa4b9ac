package org.foxtailford.benchmarks.placement;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.SliceMove;

/** Baseline: slice number modulo number of upstreams. */
final class StaticModuloPolicy implements PlacementPolicy {

  @Override
  public List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams) {
    List<SliceMove> moves = new ArrayList<>();
    for (int i = 0; i < slices.size() && !upstreams.isEmpty(); i++) {
      String target = upstreams.get(i % upstreams.size());
      if (slices.get(i).owner().filter(target::equals).isEmpty()) {
        moves.add(new SliceMove(slices.get(i).range(), target));
      }
    }
    return moves;
  }
}
