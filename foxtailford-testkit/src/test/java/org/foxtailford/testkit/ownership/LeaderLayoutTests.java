package org.foxtailford.testkit.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPlan;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.PlacementRound;
import org.foxtailford.core.placement.SliceMerge;
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.placement.SliceSplit;
import org.foxtailford.core.slice.SliceRange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LeaderLayoutTests {

  private static final String SERVICE = LoadedDataCentre.SERVICE;
  private static final SliceRange FIRST = LoadedDataCentre.SLICES.get(0);
  private static final SliceSplit HALVES = SliceSplit.halve(FIRST);

  private final List<PlacementPlan> plans = new ArrayList<>();
  private LoadedDataCentre dataCentre;

  @BeforeMethod
  public void startDataCentre() {
    plans.clear();
    dataCentre = new LoadedDataCentre(new ScriptedPolicy(), 3, 1);
    dataCentre.runSeconds(10);
  }

  private void run(PlacementPlan plan) {
    plans.add(plan);
    dataCentre.runSeconds(3);
  }

  private SliceAssignment owner(long keyHash) {
    return dataCentre.owners().owner(SERVICE, keyHash).orElseThrow();
  }

  private static PlacementPlan split(SliceMove... moves) {
    return new PlacementPlan(List.of(), List.of(HALVES), List.of(moves));
  }

  private static PlacementPlan merge(List<SliceRange> parts) {
    return new PlacementPlan(List.of(new SliceMerge(parts)), List.of(), List.of());
  }

  private String otherThan(String upstream) {
    return upstream.equals("u-0") ? "u-1" : "u-0";
  }

  @Test
  public void partsOfASplitKeepOwnerAndFence() {
    SliceAssignment before = owner(FIRST.first());
    run(split());
    for (SliceRange part : HALVES.parts()) {
      assertThat(owner(part.first()))
          .isEqualTo(new SliceAssignment(part, before.upstream(), before.fence()));
      assertThat(dataCentre.holdersOf(part.first())).containsExactly(before.upstream());
    }
  }

  @Test
  public void aPartMayMoveInTheRoundOfItsSplit() {
    SliceAssignment before = owner(FIRST.first());
    String target = otherThan(before.upstream());
    run(split(new SliceMove(HALVES.parts().get(1), target)));
    assertThat(dataCentre.holdersOf(FIRST.first())).containsExactly(before.upstream());
    assertThat(dataCentre.holdersOf(FIRST.last())).containsExactly(target);
    assertThat(owner(FIRST.last()).fence()).isGreaterThan(before.fence());
  }

  @Test
  public void aMergedSliceHasANewFence() {
    run(split());
    Fence before = owner(FIRST.first()).fence();
    run(merge(HALVES.parts()));
    assertThat(owner(FIRST.last()).range()).isEqualTo(FIRST);
    assertThat(owner(FIRST.last()).fence()).isGreaterThan(before);
    assertThat(dataCentre.holdersOf(FIRST.last())).hasSize(1);
  }

  @Test
  public void slicesOfTwoOwnersAreNotMerged() {
    run(split(new SliceMove(HALVES.parts().get(1), otherThan(owner(FIRST.first()).upstream()))));
    run(merge(HALVES.parts()));
    assertThat(owner(FIRST.first()).range()).isEqualTo(HALVES.parts().get(0));
  }

  private Map<SliceRange, String> ownersBySlice() {
    return dataCentre.owners().slices(SERVICE).stream()
        .collect(Collectors.toMap(SliceAssignment::range, SliceAssignment::upstream));
  }

  @Test
  public void aNewLeaderKeepsSlicesAndOwnersThatItDoesNotKnow() {
    run(split(new SliceMove(HALVES.parts().get(1), otherThan(owner(FIRST.first()).upstream()))));
    Map<SliceRange, String> before = ownersBySlice();
    Fence fence = owner(FIRST.last()).fence();
    dataCentre.replaceLeader();
    dataCentre.runSeconds(10);
    assertThat(ownersBySlice()).isEqualTo(before).hasSize(LoadedDataCentre.SLICES.size() + 1);
    assertThat(owner(FIRST.last()).fence()).isGreaterThan(fence);
    before.forEach(
        (slice, upstream) ->
            assertThat(dataCentre.holdersOf(slice.last())).containsExactly(upstream));
  }

  @Test
  public void slicesThatNobodyHoldsUnderANewLeaderFillTheGaps() {
    run(split(new SliceMove(HALVES.parts().get(1), otherThan(owner(FIRST.first()).upstream()))));
    dataCentre.setAbsent(owner(FIRST.last()).upstream(), true);
    dataCentre.replaceLeader();
    dataCentre.runSeconds(10);
    for (SliceRange slice : LoadedDataCentre.SLICES) {
      assertThat(dataCentre.holdersOf(slice.first())).hasSize(1);
      assertThat(dataCentre.holdersOf(slice.last())).hasSize(1);
    }
  }

  @Test
  public void splitsMovesAndMergesAreAnnouncedOnce() {
    String owner = owner(FIRST.first()).upstream();
    SliceRange part = HALVES.parts().get(1);
    run(split(new SliceMove(part, otherThan(owner))));
    run(new PlacementPlan(List.of(), List.of(), List.of(new SliceMove(part, owner))));
    run(merge(HALVES.parts()));
    assertThat(dataCentre.events()).containsExactly("split", "moved", "moved", "merged");
  }

  /** Carries out plans one after the other, between rounds of a calm policy. */
  private final class ScriptedPolicy implements PlacementPolicy {

    private final PlacementPolicy calm = new EvenCountPolicy(0);

    @Override
    public List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams) {
      return calm.plan(slices, upstreams);
    }

    @Override
    public PlacementPlan planRound(PlacementRound round) {
      return plans.isEmpty() ? calm.planRound(round) : plans.remove(0);
    }
  }
}
