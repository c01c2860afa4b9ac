package org.foxtailford.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.util.Assert;

/** Gives each upstream nearly the same number of slices, with few moves a round. */
public final class EvenCountPolicy implements PlacementPolicy {

  private final int maxMovesPerRound;

  /**
   * Creates the policy.
   *
   * @param maxMovesPerRound most slices that change owner in one round, free slices not counted
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
      boolean homeless = slice.owner().filter(counts::containsKey).isEmpty();
      if (homeless) {
        String target = least(counts);
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
    int left = maxMovesPerRound;
    String target = least(counts);
    for (PlacedSlice slice : slices) {
      Optional<String> owner = slice.owner().filter(counts::containsKey);
      if (left == 0 || owner.isEmpty()) {
        continue;
      }
      if (counts.get(owner.get()) - counts.get(target) > 1) {
        counts.merge(owner.get(), -1, Integer::sum);
        counts.merge(target, 1, Integer::sum);
        moves.add(new SliceMove(slice.range(), target));
        target = least(counts);
        left--;
      }
    }
  }

  private static String least(Map<String, Integer> counts) {
    return counts.entrySet().stream()
        .min(
            Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }
}
