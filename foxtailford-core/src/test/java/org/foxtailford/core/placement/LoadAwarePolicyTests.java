package org.foxtailford.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.slice.SliceRange;
import org.testng.annotations.Test;

public class LoadAwarePolicyTests {

  private static final List<SliceRange> RANGES = SliceRange.divide(8);

  private final LoadAwarePolicy policy = new LoadAwarePolicy();

  private static List<PlacedSlice> slices(String[] owners, double[] loads) {
    List<PlacedSlice> slices = new ArrayList<>();
    for (int i = 0; i < owners.length; i++) {
      slices.add(new PlacedSlice(RANGES.get(i), Optional.of(owners[i]), loads[i]));
    }
    return slices;
  }

  private static List<UpstreamCapacity> upstreams(String... names) {
    return List.of(names).stream().map(UpstreamCapacity::accepting).toList();
  }

  @Test
  public void hotKeyStaysAndOtherSlicesMoveAway() {
    long key = RANGES.get(0).first() + 1000;
    List<PlacedSlice> slices =
        slices(
            new String[] {"a", "a", "a", "a", "b", "b", "b", "b"},
            new double[] {500, 100, 100, 100, 100, 100, 100, 100});
    PlacementPlan plan =
        policy.planRound(
            new PlacementRound(slices, upstreams("a", "b"), List.of(new KeyLoad(key, 450))));
    assertThat(plan.moves()).isNotEmpty().allMatch(move -> move.target().equals("b"));
    double moved =
        plan.moves().stream().mapToDouble(m -> RANGES.indexOf(m.range()) > 0 ? 100 : 50).sum();
    assertThat(moved).isBetween(80.0, 150.0);
    assertThat(plan.moves()).noneMatch(move -> move.range().contains(key));
  }

  @Test
  public void keyThatOverloadsItsUpstreamIsIsolated() {
    long key = RANGES.get(0).first() + 1000;
    List<PlacedSlice> slices =
        slices(
            new String[] {"a", "b", "b", "b", "b", "b", "b", "b"},
            new double[] {1300, 100, 100, 100, 100, 100, 100, 100});
    PlacementPlan plan =
        policy.planRound(
            new PlacementRound(slices, upstreams("a", "b"), List.of(new KeyLoad(key, 900))));
    assertThat(plan.splits().get(0).parts()).contains(new SliceRange(key, key));
  }

  @Test
  public void loadIsDistributedByWeight() {
    List<PlacedSlice> slices =
        slices(
            new String[] {"a", "a", "a", "a", "b", "b", "b", "b"},
            new double[] {100, 100, 100, 100, 100, 100, 100, 100});
    List<UpstreamCapacity> unequal =
        List.of(
            new UpstreamCapacity("a", 3, true, false), new UpstreamCapacity("b", 1, true, false));
    assertThat(policy.planRound(new PlacementRound(slices, unequal, List.of())).moves())
        .isNotEmpty()
        .allMatch(move -> move.target().equals("a"));
  }

  @Test
  public void movesAwayFromDrainingUpstreamAreBounded() {
    List<PlacedSlice> slices = new ArrayList<>();
    for (SliceRange range : SliceRange.divide(100)) {
      slices.add(new PlacedSlice(range, Optional.of("a"), 10));
    }
    List<UpstreamCapacity> upstreams =
        List.of(
            new UpstreamCapacity("a", 1, false, false), new UpstreamCapacity("b", 1, true, false));
    PlacementPlan plan = policy.planRound(new PlacementRound(slices, upstreams, List.of()));
    assertThat(plan.moves()).hasSize(PlacementLimits.forUpstreams(2).maxDrainMoves());
  }

  @Test
  public void overloadReportAffectsOnlyTargetSelection() {
    List<PlacedSlice> slices =
        slices(
            new String[] {"a", "a", "a", "a", "a", "b", "c", "c"},
            new double[] {100, 100, 100, 100, 100, 100, 100, 100});
    List<UpstreamCapacity> reported =
        List.of(
            UpstreamCapacity.accepting("a"),
            new UpstreamCapacity("b", 1, true, true),
            UpstreamCapacity.accepting("c"));
    PlacementPlan plan = policy.planRound(new PlacementRound(slices, reported, List.of()));
    assertThat(plan.moves().get(0).target()).isEqualTo("c");
  }

  @Test
  public void unownedSlicesAreDistributedByWidthWithoutMeasuredLoad() {
    List<PlacedSlice> slices =
        RANGES.stream().map(range -> new PlacedSlice(range, Optional.empty(), 0)).toList();
    List<SliceMove> moves = policy.plan(slices, List.of("a", "b"));
    assertThat(moves).hasSize(8);
    assertThat(moves.stream().filter(move -> move.target().equals("a"))).hasSize(4);
  }

  @Test
  public void adjacentColdSlicesOfSameOwnerAreMerged() {
    List<PlacedSlice> slices = new ArrayList<>();
    List<SliceRange> ranges = SliceRange.divide(40);
    for (int i = 0; i < 40; i++) {
      double load = i % 20 < 2 ? 0.1 : 100;
      slices.add(new PlacedSlice(ranges.get(i), Optional.of(i < 20 ? "a" : "b"), load));
    }
    PlacementPlan plan =
        policy.planRound(new PlacementRound(slices, upstreams("a", "b"), List.of()));
    assertThat(plan.merges()).hasSize(2);
    assertThat(plan.merges().get(0).parts()).containsExactly(ranges.get(0), ranges.get(1));
  }

  @Test
  public void emptyUpstreamIsFilledToHalfMeanCountWithoutMeasuredLoad() {
    List<PlacedSlice> slices =
        new ArrayList<>(
            slices(new String[] {"a", "a", "a", "a", "b", "b", "b", "b"}, new double[8]));
    List<SliceMove> all = new ArrayList<>();
    for (int round = 0; round < 5; round++) {
      List<SliceMove> moves = policy.plan(slices, List.of("a", "b", "c"));
      all.addAll(moves);
      moves.forEach(
          move ->
              slices.replaceAll(
                  slice ->
                      slice.range().equals(move.range())
                          ? new PlacedSlice(slice.range(), Optional.of(move.target()), 0)
                          : slice));
    }
    assertThat(all).hasSize(2).allMatch(move -> move.target().equals("c"));
  }

  @Test
  public void sliceCountsAboveHalfMeanRemainWithoutMeasuredLoad() {
    List<PlacedSlice> slices =
        slices(new String[] {"a", "a", "a", "b", "b", "b", "c", "c"}, new double[8]);
    assertThat(policy.plan(slices, List.of("a", "b", "c"))).isEmpty();
  }
}
