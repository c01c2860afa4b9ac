package org.foxtailford.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailford.core.slice.SliceRange;

/**
 * Bounds the number of slices by merging adjacent cold slices of the same owner.
 *
 * <p>Slices that the round moves or splits already are left unchanged. Not thread-safe.
 */
final class ColdSliceMerger {

  /** Slice count above which slices are merged, as a share of the maximum slice count. */
  private static final double MERGE_THRESHOLD = 0.75;

  /** Maximum load of a merged slice, as a share of the mean upstream load. */
  private static final double MAX_MERGED_LOAD_SHARE = 0.04;

  /** Maximum width of a merged slice, relative to the mean width at the maximum slice count. */
  private static final double MAX_WIDTH_FACTOR = 4;

  /**
   * Maximum load and width of a fragment, each relative to the mean of a slice at the maximum slice
   * count. A fragment is a narrow cold slice that moves to the owner of its lower neighbour.
   */
  private static final double FRAGMENT_SHARE = 0.05;

  private final List<PlacedSlice> slices;
  private final Set<String> acceptingUpstreams;
  private final Set<SliceRange> changedRanges = new HashSet<>();
  private final double meanLoad;
  private final int maxChanges;
  private final int maxSlices;
  private final boolean shouldMerge;
  private final List<SliceMerge> merges = new ArrayList<>();

  ColdSliceMerger(PlacementRound round, PlacementDraft draft, PlacementLimits limits) {
    slices = round.slices();
    acceptingUpstreams = new HashSet<>(round.acceptingNames());
    meanLoad = draft.meanLoad();
    maxChanges = limits.maxLayoutChanges();
    maxSlices = limits.maxSlicesPerUpstream() * acceptingUpstreams.size();
    shouldMerge = draft.isLoadKnown() && slices.size() > MERGE_THRESHOLD * maxSlices;
    draft.moves().forEach(move -> changedRanges.add(move.range()));
    draft.splits().forEach(split -> changedRanges.add(split.range()));
    addMerges();
  }

  List<SliceMerge> merges() {
    return merges;
  }

  private void addMerges() {
    int i = 0;
    while (shouldMerge && i + 1 < slices.size() && merges.size() < maxChanges) {
      PlacedSlice low = slices.get(i);
      PlacedSlice high = slices.get(i + 1);
      if (canMerge(low, high)) {
        merges.add(new SliceMerge(List.of(low.range(), high.range())));
        changedRanges.add(low.range());
        changedRanges.add(high.range());
        i++;
      }
      i++;
    }
  }

  private boolean canMerge(PlacedSlice low, PlacedSlice high) {
    return areUnchangedNeighbours(low, high)
        && low.owner().isPresent()
        && low.owner().equals(high.owner())
        && low.load() + high.load() <= MAX_MERGED_LOAD_SHARE * meanLoad
        && low.range().share() + high.range().share() <= MAX_WIDTH_FACTOR / maxSlices;
  }

  /**
   * Plans moves of fragments to the owner of the slice below, so that a later round can merge both.
   *
   * @param maxMoves maximum number of moves
   */
  List<SliceMove> moveFragments(int maxMoves) {
    List<SliceMove> moves = new ArrayList<>();
    for (int i = 0; shouldMerge && i + 1 < slices.size() && moves.size() < maxMoves; i++) {
      PlacedSlice low = slices.get(i);
      PlacedSlice high = slices.get(i + 1);
      if (!areUnchangedNeighbours(low, high) || low.owner().equals(high.owner())) {
        continue;
      }
      if (isFragment(high) && low.owner().filter(acceptingUpstreams::contains).isPresent()) {
        moves.add(new SliceMove(high.range(), low.owner().get()));
        changedRanges.add(high.range());
        changedRanges.add(low.range());
      }
    }
    return moves;
  }

  private boolean isFragment(PlacedSlice slice) {
    double slicesPerUpstream = (double) maxSlices / acceptingUpstreams.size();
    return slice.load() <= FRAGMENT_SHARE * meanLoad / slicesPerUpstream
        && slice.range().share() <= FRAGMENT_SHARE / maxSlices;
  }

  private boolean areUnchangedNeighbours(PlacedSlice low, PlacedSlice high) {
    return low.range().last() + 1 == high.range().first()
        && !changedRanges.contains(low.range())
        && !changedRanges.contains(high.range());
  }
}
