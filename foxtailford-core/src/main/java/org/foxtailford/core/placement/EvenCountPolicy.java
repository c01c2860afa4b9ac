package org.foxtailford.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.util.Assert;

/**
 * {@link PlacementPolicy} that distributes slices evenly by count and ignores load. Immutable.
 *
 * <p>Slices without a usable owner are assigned at once; moves between upstreams are bounded per
 * round.
 */
public final class EvenCountPolicy implements PlacementPolicy {

  private final int maxMovesPerRound;

  /**
   * Creates the policy.
   *
   * @param maxMovesPerRound maximum number of slices that change owner in one round; unowned slices
   *     do not count
   */
  public EvenCountPolicy(int maxMovesPerRound) {
    Assert.isTrue(maxMovesPerRound >= 0, "maxMovesPerRound must not be negative");
    this.maxMovesPerRound = maxMovesPerRound;
  }

  @Override
  public List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams) {
    if (upstreams.isEmpty()) {
      return List.of();
    }
    Map<String, Integer> counts = countByUpstream(slices, upstreams);
    List<SliceMove> moves = new ArrayList<>();
    for (PlacedSlice slice : slices) {
      boolean unowned = slice.owner().filter(counts::containsKey).isEmpty();
      if (unowned) {
        String target = upstreamWithFewestSlices(counts);
        counts.merge(target, 1, Integer::sum);
        moves.add(new SliceMove(slice.range(), target));
      }
    }
    addBalancingMoves(slices, counts, moves);
    return moves;
  }

  private static Map<String, Integer> countByUpstream(
      List<PlacedSlice> slices, List<String> upstreams) {
    Map<String, Integer> counts = new HashMap<>();
    upstreams.forEach(upstream -> counts.put(upstream, 0));
    slices.forEach(s -> s.owner().ifPresent(o -> counts.computeIfPresent(o, (k, n) -> n + 1)));
    return counts;
  }

  private void addBalancingMoves(
      List<PlacedSlice> slices, Map<String, Integer> counts, List<SliceMove> moves) {
    int remainingMoves = maxMovesPerRound;
    String target = upstreamWithFewestSlices(counts);
    for (PlacedSlice slice : slices) {
      Optional<String> owner = slice.owner().filter(counts::containsKey);
      if (remainingMoves == 0 || owner.isEmpty()) {
        continue;
      }
      if (counts.get(owner.get()) - counts.get(target) > 1) {
        counts.merge(owner.get(), -1, Integer::sum);
        counts.merge(target, 1, Integer::sum);
        moves.add(new SliceMove(slice.range(), target));
        target = upstreamWithFewestSlices(counts);
        remainingMoves--;
      }
    }
  }

  private static String upstreamWithFewestSlices(Map<String, Integer> counts) {
    return counts.entrySet().stream()
        .min(
            Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }
}
