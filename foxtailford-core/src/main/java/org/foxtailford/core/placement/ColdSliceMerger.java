package org.foxtailford.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailford.core.slice.SliceRange;

/** Keeps the number of slices bounded by joining cold neighbours of one owner. */
final class ColdSliceMerger {

  /** Share of the highest number of slices above which slices are joined. */
  private static final double MERGE_ABOVE = 0.75;

  /** Load of a joined slice, as a share of the mean of an upstream. */
  private static final double COLD_SHARE = 0.04;

  /** Width of a joined slice, relative to the mean width when there are most slices. */
  private static final double MAX_WIDTH = 4;

  /** Load and width of a slice that follows its neighbour, relative to the mean of a slice. */
  private static final double STRAY_SHARE = 0.05;

  private final List<PlacedSlice> slices;
  private final Set<String> accepting;
  private final Set<SliceRange> touched = new HashSet<>();
  private final double mean;
  private final int maxChanges;
  private final int maxSlices;
  private final boolean crowded;
  private final List<SliceMerge> merges = new ArrayList<>();

  ColdSliceMerger(PlacementRound round, PlacementDraft draft, PlacementLimits limits) {
    slices = round.slices();
    accepting = new HashSet<>(round.acceptingNames());
    mean = draft.mean();
    maxChanges = limits.maxLayoutChanges();
    maxSlices = limits.maxSlicesPerUpstream() * accepting.size();
    crowded = draft.loadKnown() && slices.size() > MERGE_ABOVE * maxSlices;
    draft.moves().forEach(move -> touched.add(move.range()));
    draft.splits().forEach(split -> touched.add(split.range()));
    addMerges();
  }

  List<SliceMerge> merges() {
    return merges;
  }

  private void addMerges() {
    int i = 0;
    while (crowded && i + 1 < slices.size() && merges.size() < maxChanges) {
      PlacedSlice low = slices.get(i);
      PlacedSlice high = slices.get(i + 1);
      if (canMerge(low, high)) {
        merges.add(new SliceMerge(List.of(low.range(), high.range())));
        touched.add(low.range());
        touched.add(high.range());
        i++;
      }
      i++;
    }
  }

  private boolean canMerge(PlacedSlice low, PlacedSlice high) {
    return areUntouchedNeighbours(low, high)
        && low.owner().isPresent()
        && low.owner().equals(high.owner())
        && low.load() + high.load() <= COLD_SHARE * mean
        && low.range().share() + high.range().share() <= MAX_WIDTH / maxSlices;
  }

  /** Moves narrow cold slices to the owner of a neighbour, so that they can be joined with it. */
  List<SliceMove> returnStrays(int maxMoves) {
    List<SliceMove> moves = new ArrayList<>();
    for (int i = 0; crowded && i + 1 < slices.size() && moves.size() < maxMoves; i++) {
      PlacedSlice low = slices.get(i);
      PlacedSlice high = slices.get(i + 1);
      if (!areUntouchedNeighbours(low, high) || low.owner().equals(high.owner())) {
        continue;
      }
      if (isStray(high) && low.owner().filter(accepting::contains).isPresent()) {
        moves.add(new SliceMove(high.range(), low.owner().get()));
        touched.add(high.range());
        touched.add(low.range());
      }
    }
    return moves;
  }

  private boolean isStray(PlacedSlice slice) {
    double slicesPerUpstream = (double) maxSlices / accepting.size();
    return slice.load() <= STRAY_SHARE * mean / slicesPerUpstream
        && slice.range().share() <= STRAY_SHARE / maxSlices;
  }

  private boolean areUntouchedNeighbours(PlacedSlice low, PlacedSlice high) {
    return low.range().last() + 1 == high.range().first()
        && !touched.contains(low.range())
        && !touched.contains(high.range());
  }
}
