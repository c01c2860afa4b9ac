package org.foxtailford.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.HomeRange;
import org.foxtailford.schema.HomeRanges;
import org.testng.annotations.Test;

public class HomePlannerTests {

  private static final int SLICES = 12;
  private static final int AT_ONCE = 2;
  private static final List<String> ALL = List.of("a", "b", "c");
  private static final List<String> WITHOUT_B = List.of("a", "c");

  private final HomePlanner planner = new HomePlanner(AT_ONCE);
  private final HomeRanges homes = HomeDirectory.initial("menu", SLICES, ALL);

  private HomeRanges settle(HomeRanges row, List<String> available) {
    Optional<HomeRanges> next = Optional.of(row);
    HomeRanges current = row;
    for (int round = 0; next.isPresent() && round < 2 * SLICES; round++) {
      current = next.get();
      next = complete(current);
      if (next.isEmpty()) {
        next = planner.beginMoves(current, SLICES, available, available);
      }
    }
    return current;
  }

  private Optional<HomeRanges> complete(HomeRanges row) {
    return ALL.stream()
        .flatMap(dc -> planner.completeMoves(row, SLICES, dc, range -> true).stream())
        .findFirst();
  }

  @Test
  public void nothingMovesWhileAllAreAvailable() {
    assertThat(planner.beginMoves(homes, SLICES, ALL, ALL)).isEmpty();
  }

  @Test
  public void noMoreThanTheBoundAreBetweenTwoHomes() {
    HomeRanges begun = planner.beginMoves(homes, SLICES, WITHOUT_B, WITHOUT_B).orElseThrow();
    double share =
        begun.getRangesList().stream()
            .filter(range -> !range.getMovingTo().isEmpty())
            .mapToDouble(range -> SliceRange.of(range.getRange()).share())
            .sum();
    assertThat(share * SLICES).isBetween(1.99, 2.01);
    assertThat(planner.beginMoves(begun, SLICES, WITHOUT_B, WITHOUT_B)).isEmpty();
  }

  @Test
  public void aSliceStaysUntilItsHomeReleasedIt() {
    HomeRanges begun = planner.beginMoves(homes, SLICES, WITHOUT_B, WITHOUT_B).orElseThrow();
    assertThat(planner.completeMoves(begun, SLICES, "b", range -> false)).isEmpty();
    assertThat(planner.completeMoves(begun, SLICES, "a", range -> true)).isEmpty();
    HomeDirectory directory = HomeDirectory.of(List.of(begun));
    SliceRange moving = SliceRange.of(movingRange(begun).getRange());
    assertThat(directory.isHome("b", "menu", moving)).isFalse();
    assertThat(directory.isHome(movingRange(begun).getMovingTo(), "menu", moving)).isFalse();
  }

  private static HomeRange movingRange(HomeRanges row) {
    return row.getRangesList().stream()
        .filter(range -> !range.getMovingTo().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void theRestSharesAndTheReturnRestores() {
    HomeRanges without = settle(homes, WITHOUT_B);
    assertThat(without.getRangesList())
        .allMatch(range -> WITHOUT_B.contains(range.getDataCentre()));
    assertThat(settle(without, ALL)).isEqualTo(homes);
  }

  @Test
  public void aMoveIsCalledOffWhenItsHomeReturnsAndTheTargetGoes() {
    HomeRanges begun = planner.beginMoves(homes, SLICES, List.of("a"), List.of("a")).orElseThrow();
    assertThat(
            planner
                .beginMoves(begun, SLICES, List.of("b", "c"), List.of("b", "c"))
                .orElseThrow()
                .getRangesList())
        .filteredOn(range -> range.getDataCentre().equals("b"))
        .allMatch(range -> range.getMovingTo().isEmpty() && range.getPreferred().isEmpty());
  }

  @Test
  public void whatMayNotReceiveHomesKeepsItsOwn() {
    assertThat(planner.beginMoves(homes, SLICES, ALL, WITHOUT_B)).isEmpty();
  }

  @Test
  public void aLostDataCentreIsRelievedOfABoundedNumberOfHomesAtOnce() {
    HomeRanges taken = planner.takeOver(homes, SLICES, "b", WITHOUT_B).orElseThrow();
    assertThat(planner.takeOver(homes, SLICES, "b", List.of())).isEmpty();
    assertThat(slicesFrom(taken, "b")).isEqualTo(AT_ONCE);
  }

  @Test
  public void whatWasTakenGoesBackInTwoSteps() {
    HomeRanges taken = homes;
    Optional<HomeRanges> next = Optional.of(homes);
    while (next.isPresent()) {
      taken = next.get();
      next = planner.takeOver(taken, SLICES, "b", WITHOUT_B);
    }
    assertThat(taken.getRangesList()).noneMatch(range -> range.getDataCentre().equals("b"));
    HomeRanges begun = planner.beginMoves(taken, SLICES, ALL, ALL).orElseThrow();
    assertThat(begun.getRangesList()).anyMatch(range -> range.getMovingTo().equals("b"));
  }

  private static long slicesFrom(HomeRanges row, String dataCentre) {
    return SliceRange.divide(SLICES).stream()
        .filter(
            slice ->
                row.getRangesList().stream()
                    .filter(range -> SliceRange.of(range.getRange()).contains(slice.first()))
                    .anyMatch(range -> range.getPreferred().equals(dataCentre)))
        .count();
  }
}
