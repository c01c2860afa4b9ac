package org.foxtailford.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRange;
import org.foxtailford.schema.HomeRanges;

/**
 * Decides which slices change their home data centre. Immutable and without side effects.
 *
 * <p>A move takes two steps. First the row names the next home, whereupon the current home releases
 * the slice. Then the leader of the current home replaces it in the row by the next home.
 */
public final class HomePlanner {

  private final int maxConcurrentMoves;

  /**
   * Creates a planner.
   *
   * @param maxConcurrentMoves maximum number of slices per service that have a pending move, and
   *     that one take-over moves
   */
  public HomePlanner(int maxConcurrentMoves) {
    Assert.isTrue(maxConcurrentMoves > 0, "maxConcurrentMoves must be positive");
    this.maxConcurrentMoves = maxConcurrentMoves;
  }

  /**
   * Begins moves of slices whose home is unavailable, and of slices that can return to their
   * preferred home. Cancels or redirects pending moves whose target may no longer receive homes.
   *
   * @param row the current homes
   * @param slices number of slices into which the hash space is divided
   * @param available data centres that may keep their homes
   * @param targets the available data centres that may receive homes, sorted
   * @return the changed homes; empty if nothing changes
   */
  public Optional<HomeRanges> beginMoves(
      HomeRanges row, int slices, List<String> available, List<String> targets) {
    List<HomeRange> units = divide(row, slices);
    Map<String, Integer> homeCounts = countHomes(units, targets);
    long activeMoves = units.stream().filter(unit -> !unit.getMovingTo().isEmpty()).count();
    List<HomeRange> planned = new ArrayList<>();
    for (HomeRange unit : units) {
      HomeRange next = withNextMove(unit, available, targets, homeCounts);
      boolean startsMove = unit.getMovingTo().isEmpty() && !next.getMovingTo().isEmpty();
      if (startsMove && activeMoves >= maxConcurrentMoves) {
        planned.add(unit);
        continue;
      }
      if (startsMove) {
        activeMoves++;
        homeCounts.merge(next.getMovingTo(), 1, Integer::sum);
      }
      planned.add(next);
    }
    return ifChanged(row, planned);
  }

  /**
   * Completes the moves of released slices away from a data centre.
   *
   * @param row the current homes
   * @param slices number of slices into which the hash space is divided
   * @param dataCentre the current home, on whose leader this runs
   * @param released tests whether no upstream of that data centre can own a key of a range
   * @return the changed homes; empty if nothing changes
   */
  public Optional<HomeRanges> completeMoves(
      HomeRanges row, int slices, String dataCentre, Predicate<SliceRange> released) {
    List<HomeRange> moved = new ArrayList<>();
    for (HomeRange unit : divide(row, slices)) {
      boolean leaving = unit.getDataCentre().equals(dataCentre) && !unit.getMovingTo().isEmpty();
      boolean isReleased = leaving && released.test(SliceRange.of(unit.getRange()));
      moved.add(isReleased ? withMoveCompleted(unit) : unit);
    }
    return ifChanged(row, moved);
  }

  /**
   * Moves homes of a data centre whose leaders' authority has expired to other data centres, in one
   * step.
   *
   * @param row the current homes
   * @param slices number of slices into which the hash space is divided
   * @param source the data centre that loses homes
   * @param targets data centres that may receive homes, sorted; if empty, nothing changes
   * @return the changed homes; empty if nothing changes
   */
  public Optional<HomeRanges> takeOver(
      HomeRanges row, int slices, String source, List<String> targets) {
    List<HomeRange> units = divide(row, slices);
    Map<String, Integer> homeCounts = countHomes(units, targets);
    List<HomeRange> taken = new ArrayList<>();
    int moves = 0;
    for (HomeRange unit : units) {
      if (!unit.getDataCentre().equals(source)
          || homeCounts.isEmpty()
          || moves == maxConcurrentMoves) {
        taken.add(unit);
        continue;
      }
      String target =
          targets.contains(unit.getMovingTo())
              ? unit.getMovingTo()
              : targetWithFewestHomes(homeCounts);
      homeCounts.merge(target, 1, Integer::sum);
      taken.add(withMoveCompleted(withTarget(unit, target)));
      moves++;
    }
    return ifChanged(row, taken);
  }

  private static HomeRange withMoveCompleted(HomeRange unit) {
    boolean returnsToPreferred = unit.getMovingTo().equals(unit.getPreferred());
    return unit.toBuilder()
        .setDataCentre(unit.getMovingTo())
        .setMovingTo("")
        .setPreferred(returnsToPreferred ? "" : unit.getPreferred())
        .build();
  }

  private static HomeRange withNextMove(
      HomeRange unit,
      List<String> available,
      List<String> targets,
      Map<String, Integer> homeCounts) {
    String home = unit.getDataCentre();
    String target = unit.getMovingTo();
    String preferred = unit.getPreferred();
    if (targets.isEmpty() || targets.contains(target)) {
      return unit;
    }
    if (targets.contains(preferred)) {
      return withTarget(unit, preferred.equals(home) ? "" : preferred);
    }
    if (available.contains(home)) {
      return withTarget(unit, "");
    }
    return withTarget(unit, targetWithFewestHomes(homeCounts));
  }

  /**
   * Returns a range with another move target, or without a move if the target is empty. The home
   * that a range first leaves is kept as its preferred home, to which it later returns.
   */
  private static HomeRange withTarget(HomeRange unit, String target) {
    String home = unit.getDataCentre();
    String preferred = unit.getPreferred();
    boolean leavesPreferred = !target.isEmpty() && preferred.isEmpty();
    boolean stays = target.isEmpty() && preferred.equals(home);
    String nextPreferred = leavesPreferred ? home : stays ? "" : preferred;
    return unit.toBuilder().setMovingTo(target).setPreferred(nextPreferred).build();
  }

  /** Counts the homes that each data centre will have after all pending moves. */
  private static Map<String, Integer> countHomes(List<HomeRange> units, List<String> available) {
    Map<String, Integer> homeCounts = new HashMap<>();
    available.forEach(name -> homeCounts.put(name, 0));
    for (HomeRange unit : units) {
      String homeAfterMove =
          unit.getMovingTo().isEmpty() ? unit.getDataCentre() : unit.getMovingTo();
      homeCounts.computeIfPresent(homeAfterMove, (name, count) -> count + 1);
    }
    return homeCounts;
  }

  private static String targetWithFewestHomes(Map<String, Integer> homeCounts) {
    return homeCounts.entrySet().stream()
        .min(
            Comparator.comparingInt(Map.Entry<String, Integer>::getValue)
                .thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }

  /**
   * Divides the ranges of a row into one per slice. A range whose borders are not borders of slices
   * stays whole.
   */
  private static List<HomeRange> divide(HomeRanges row, int slices) {
    List<SliceRange> allSlices = SliceRange.divide(slices);
    List<HomeRange> units = new ArrayList<>();
    for (HomeRange home : row.getRangesList()) {
      SliceRange whole = SliceRange.of(home.getRange());
      List<SliceRange> parts =
          allSlices.stream()
              .filter(part -> whole.contains(part.first()) && whole.contains(part.last()))
              .toList();
      boolean aligned =
          !parts.isEmpty()
              && parts.get(0).first() == whole.first()
              && parts.get(parts.size() - 1).last() == whole.last();
      for (SliceRange part : aligned ? parts : List.of(whole)) {
        units.add(home.toBuilder().setRange(part.toValue()).build());
      }
    }
    return units;
  }

  private static Optional<HomeRanges> ifChanged(HomeRanges row, List<HomeRange> units) {
    HomeRanges next = row.toBuilder().clearRanges().addAllRanges(mergeAdjacent(units)).build();
    HomeRanges present =
        row.toBuilder().clearRanges().addAllRanges(mergeAdjacent(row.getRangesList())).build();
    return next.equals(present) ? Optional.empty() : Optional.of(next);
  }

  private static List<HomeRange> mergeAdjacent(List<HomeRange> units) {
    List<HomeRange> merged = new ArrayList<>();
    for (HomeRange unit : units) {
      int last = merged.size() - 1;
      boolean mergeable = last >= 0 && isMergeable(merged.get(last), unit);
      if (mergeable) {
        HomeRange.Builder extended = merged.get(last).toBuilder();
        extended.getRangeBuilder().setLast(unit.getRange().getLast());
        merged.set(last, extended.build());
      } else {
        merged.add(unit);
      }
    }
    return merged;
  }

  private static boolean isMergeable(HomeRange left, HomeRange right) {
    return left.getRange().getLast() + 1 == right.getRange().getFirst()
        && left.toBuilder().clearRange().build().equals(right.toBuilder().clearRange().build());
  }
}
