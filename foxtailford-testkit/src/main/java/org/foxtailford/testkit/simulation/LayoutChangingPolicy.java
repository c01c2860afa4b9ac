package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPlan;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.PlacementRound;
import org.foxtailford.core.placement.SliceMerge;
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.placement.SliceSplit;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/** Adds splits and merges without need to the plans of another policy while a condition holds. */
final class LayoutChangingPolicy implements PlacementPolicy {

  private static final int ROUNDS_PER_CHANGE = 3;
  private static final double MAX_PARTS_OF_A_SLICE = 4;

  private final PlacementPolicy policy;
  private final RandomGenerator random;
  private final double leastShare;
  private final BooleanSupplier restless;

  /**
   * Creates a policy.
   *
   * @param policy plans everything else
   * @param random source of the changes
   * @param slices initial slices; none becomes narrower than a quarter of one
   * @param restless tells whether to change layouts
   */
  LayoutChangingPolicy(
      PlacementPolicy policy, RandomGenerator random, int slices, BooleanSupplier restless) {
    this.policy = Assert.notNull(policy, "policy");
    this.random = Assert.notNull(random, "random");
    this.leastShare = 1.5 / (slices * MAX_PARTS_OF_A_SLICE);
    this.restless = Assert.notNull(restless, "restless");
  }

  @Override
  public List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams) {
    return policy.plan(slices, upstreams);
  }

  @Override
  public PlacementPlan planRound(PlacementRound round) {
    PlacementPlan plan = policy.planRound(round);
    if (!restless.getAsBoolean() || round.slices().isEmpty()) {
      return plan;
    }
    Set<SliceRange> moving =
        plan.moves().stream().map(SliceMove::range).collect(Collectors.toSet());
    List<PlacedSlice> settled =
        round.slices().stream()
            .filter(slice -> slice.owner().isPresent() && !moving.contains(slice.range()))
            .toList();
    List<SliceMove> moves = new ArrayList<>(plan.moves());
    Optional<SliceMerge> merge = due() ? merge(settled) : Optional.empty();
    Optional<SliceSplit> split = due() ? split(settled, merge) : Optional.empty();
    split.ifPresent(change -> moves.addAll(moveOfPart(change, round.acceptingNames())));
    return new PlacementPlan(merge.stream().toList(), split.stream().toList(), moves);
  }

  private boolean due() {
    return random.nextInt(ROUNDS_PER_CHANGE) == 0;
  }

  private Optional<SliceMerge> merge(List<PlacedSlice> settled) {
    List<SliceMerge> possible = new ArrayList<>();
    for (int i = 1; i < settled.size(); i++) {
      PlacedSlice low = settled.get(i - 1);
      PlacedSlice high = settled.get(i);
      boolean adjacent = low.range().last() + 1 == high.range().first();
      if (adjacent && low.owner().equals(high.owner())) {
        possible.add(new SliceMerge(List.of(low.range(), high.range())));
      }
    }
    return any(possible);
  }

  private Optional<SliceSplit> split(List<PlacedSlice> settled, Optional<SliceMerge> merge) {
    return any(
        settled.stream()
            .map(PlacedSlice::range)
            .filter(range -> range.share() >= leastShare)
            .filter(range -> merge.filter(m -> m.parts().contains(range)).isEmpty())
            .map(SliceSplit::halve)
            .toList());
  }

  private List<SliceMove> moveOfPart(SliceSplit split, List<String> upstreams) {
    SliceRange part = split.parts().get(random.nextInt(split.parts().size()));
    return any(upstreams).map(target -> new SliceMove(part, target)).stream().toList();
  }

  private <T> Optional<T> any(List<T> choices) {
    return choices.isEmpty()
        ? Optional.empty()
        : Optional.of(choices.get(random.nextInt(choices.size())));
  }
}
