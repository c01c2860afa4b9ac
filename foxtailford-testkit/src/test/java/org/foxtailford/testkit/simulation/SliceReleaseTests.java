package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.HomeRange;
import org.foxtailford.schema.HomeRanges;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SliceReleaseTests {

  private static final int SLICES = 6;
  private static final long STEADY_MS = 4000;
  private static final long STEP_MS = 5;
  private static final SliceRange LEAVING = SliceRange.divide(SLICES).get(0);

  private OwnershipSystem system;
  private FaultInjector injector;

  @BeforeMethod
  public void startSystem() {
    SplittableRandom random = new SplittableRandom(3);
    Trace trace = new Trace(false);
    SimulationVariant variant = SimulationVariant.unchanged();
    system = new OwnershipSystem(2, 3, SLICES, random.split(), variant, trace);
    injector = new FaultInjector(system, random, trace);
    system.begin();
    system.queue().runUntil(STEADY_MS);
  }

  private void leaveFirstSlice() {
    HomeRanges row =
        HomeRanges.newBuilder()
            .setService(OwnershipSystem.SERVICE)
            .addRanges(home(LEAVING).setMovingTo("dc-b"))
            .addRanges(home(new SliceRange(LEAVING.last() + 1, -1L)))
            .build();
    system.setHomes(HomeDirectory.of(List.of(row)));
  }

  private static HomeRange.Builder home(SliceRange range) {
    return HomeRange.newBuilder()
        .setRange(range.toValue())
        .setDataCentre(OwnershipSystem.DATA_CENTRE);
  }

  private boolean released() {
    return system.candidates().stream().anyMatch(c -> c.released(LEAVING));
  }

  private void runUntilReleased() {
    while (!released()) {
      system.queue().runUntil(system.queue().nowMs() + STEP_MS);
      assertThat(system.queue().nowMs()).isLessThan(2 * STEADY_MS);
    }
  }

  @Test
  public void aSliceThatLeavesTheDataCentreIsReleasedByItsUpstream() {
    assertThat(released()).isFalse();
    leaveFirstSlice();
    assertThat(released()).isFalse();
    runUntilReleased();
    assertThat(system.checker().unowned()).containsExactly(LEAVING);
  }

  @Test
  public void aSliceOfAnUnreachableUpstreamIsReleasedOnlyWhenItsGrantLapsed() {
    system.upstreams().stream()
        .filter(u -> u.ownedFence(OwnershipSystem.SERVICE, LEAVING.first()).isPresent())
        .forEach(u -> injector.cutBothWays(List.of(u), system.candidates(), STEADY_MS, STEADY_MS));
    system.queue().runUntil(STEADY_MS + STEP_MS);
    leaveFirstSlice();
    runUntilReleased();
    assertThat(system.checker().unowned()).contains(LEAVING);
  }

  @Test
  public void narrowerSlicesHaveNoSecondOwnerAndAreOwnedSoon() {
    system.setSlices(4 * SLICES);
    for (long ms = STEADY_MS; ms < 2 * STEADY_MS; ms += STEP_MS) {
      system.queue().runUntil(ms);
    }
    system.checker().checkAllOwned();
    assertThat(system.checker().violations()).isEmpty();
  }

  @Test
  public void widerSlicesHaveNoSecondOwnerAndAreOwnedSoon() {
    system.setSlices(SLICES / 2);
    system.queue().runUntil(2 * STEADY_MS);
    system.checker().checkAllOwned();
    assertThat(system.checker().violations()).isEmpty();
  }
}
