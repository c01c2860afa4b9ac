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
  private static final int MAX_CONCURRENT_MOVES = 2;
  private static final List<String> ALL = List.of("a", "b", "c");
  private static final List<String> WITHOUT_B = List.of("a", "c");

  private final HomePlanner planner = new HomePlanner(MAX_CONCURRENT_MOVES);
  private final HomeRanges homes = HomeDirectory.initial("menu", SLICES, ALL);

  private HomeRanges runUntilStable(HomeRanges row, List<String> available) {
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
        .flatMap(name -> planner.completeMoves(row, SLICES, name, range -> true).stream())
        .findFirst();
  }

  @Test
  public void beginsNoMoveWhileAllDataCentresAreAvailable() {
    assertThat(planner.beginMoves(homes, SLICES, ALL, ALL)).isEmpty();
  }

  @Test
  public void limitsNumberOfConcurrentMoves() {
    HomeRanges withPendingMoves =
        planner.beginMoves(homes, SLICES, WITHOUT_B, WITHOUT_B).orElseThrow();
    double share =
        withPendingMoves.getRangesList().stream()
            .filter(range -> !range.getMovingTo().isEmpty())
            .mapToDouble(range -> SliceRange.of(range.getRange()).share())
            .sum();
    assertThat(share * SLICES).isBetween(1.99, 2.01);
    assertThat(planner.beginMoves(withPendingMoves, SLICES, WITHOUT_B, WITHOUT_B)).isEmpty();
  }

  @Test
  public void completesMoveOnlyAfterCurrentHomeReleasedSlice() {
    HomeRanges withPendingMoves =
        planner.beginMoves(homes, SLICES, WITHOUT_B, WITHOUT_B).orElseThrow();
    assertThat(planner.completeMoves(withPendingMoves, SLICES, "b", range -> false)).isEmpty();
    assertThat(planner.completeMoves(withPendingMoves, SLICES, "a", range -> true)).isEmpty();
    HomeDirectory directory = HomeDirectory.of(List.of(withPendingMoves));
    SliceRange moving = SliceRange.of(movingRange(withPendingMoves).getRange());
    assertThat(directory.isHome("b", "menu", moving)).isFalse();
    assertThat(directory.isHome(movingRange(withPendingMoves).getMovingTo(), "menu", moving))
        .isFalse();
  }

  private static HomeRange movingRange(HomeRanges row) {
    return row.getRangesList().stream()
        .filter(range -> !range.getMovingTo().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void remainingDataCentresShareSlicesUntilTheirHomeReturns() {
    HomeRanges withoutB = runUntilStable(homes, WITHOUT_B);
    assertThat(withoutB.getRangesList())
        .allMatch(range -> WITHOUT_B.contains(range.getDataCentre()));
    assertThat(runUntilStable(withoutB, ALL)).isEqualTo(homes);
  }

  @Test
  public void cancelsMoveWhenHomeReturnsAndTargetBecomesUnavailable() {
    HomeRanges withPendingMoves =
        planner.beginMoves(homes, SLICES, List.of("a"), List.of("a")).orElseThrow();
    assertThat(
            planner
                .beginMoves(withPendingMoves, SLICES, List.of("b", "c"), List.of("b", "c"))
                .orElseThrow()
                .getRangesList())
        .filteredOn(range -> range.getDataCentre().equals("b"))
        .allMatch(range -> range.getMovingTo().isEmpty() && range.getPreferred().isEmpty());
  }

  @Test
  public void availableDataCentreThatIsNoTargetKeepsItsHomes() {
    assertThat(planner.beginMoves(homes, SLICES, ALL, WITHOUT_B)).isEmpty();
  }

  @Test
  public void limitsNumberOfHomesPerTakeOver() {
    HomeRanges taken = planner.takeOver(homes, SLICES, "b", WITHOUT_B).orElseThrow();
    assertThat(planner.takeOver(homes, SLICES, "b", List.of())).isEmpty();
    assertThat(countSlicesWithPreferredHome(taken, "b")).isEqualTo(MAX_CONCURRENT_MOVES);
  }

  @Test
  public void homesThatWereTakenOverReturnInTwoSteps() {
    HomeRanges taken = homes;
    Optional<HomeRanges> next = Optional.of(homes);
    while (next.isPresent()) {
      taken = next.get();
      next = planner.takeOver(taken, SLICES, "b", WITHOUT_B);
    }
    assertThat(taken.getRangesList()).noneMatch(range -> range.getDataCentre().equals("b"));
    HomeRanges withPendingMoves = planner.beginMoves(taken, SLICES, ALL, ALL).orElseThrow();
    assertThat(withPendingMoves.getRangesList()).anyMatch(range -> range.getMovingTo().equals("b"));
  }

  private static long countSlicesWithPreferredHome(HomeRanges row, String dataCentre) {
    return SliceRange.divide(SLICES).stream()
        .filter(
            slice ->
                row.getRangesList().stream()
                    .filter(range -> SliceRange.of(range.getRange()).contains(slice.first()))
                    .anyMatch(range -> range.getPreferred().equals(dataCentre)))
        .count();
  }
}
