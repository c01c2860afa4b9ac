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
 * Decides which slices change their home data centre. Has no side effects.
 *
 * <p>A move takes two steps: the row first names the next home, which makes the present one release
 * the slice, and then the leader of the present home writes the next one into its place.
 */
public final class HomePlanner {

  private final int maxMoving;

  /**
   * Creates the planner.
   *
   * @param maxMoving most slices of a service that are between two homes at once
   */
  public HomePlanner(int maxMoving) {
    Assert.isTrue(maxMoving > 0, "maxMoving must be positive");
    this.maxMoving = maxMoving;
  }

  /**
   * Names the next homes of slices whose home is out, and of those that may go back.
   *
   * @param row the present homes
   * @param slices slices that the hash space is divided into
   * @param available data centres that may keep their homes
   * @param targets those among them that may receive homes, sorted
   * @return the changed homes; empty if nothing changes
   */
  public Optional<HomeRanges> beginMoves(
      HomeRanges row, int slices, List<String> available, List<String> targets) {
    List<HomeRange> units = divide(row, slices);
    Map<String, Integer> counts = counts(units, targets);
    long moving = units.stream().filter(unit -> !unit.getMovingTo().isEmpty()).count();
    List<HomeRange> planned = new ArrayList<>();
    for (HomeRange unit : units) {
      HomeRange next = next(unit, available, targets, counts);
      boolean starts = unit.getMovingTo().isEmpty() && !next.getMovingTo().isEmpty();
      if (starts && moving >= maxMoving) {
        planned.add(unit);
        continue;
      }
      if (starts) {
        moving++;
        counts.merge(next.getMovingTo(), 1, Integer::sum);
      }
      planned.add(next);
    }
    return changed(row, planned);
  }

  /**
   * Gives released slices to their next homes.
   *
   * @param row the present homes
   * @param slices slices that the hash space is divided into
   * @param dataCentre data centre whose leader asks
   * @param released tells whether no upstream of that data centre can hold a range
   * @return the changed homes; empty if nothing changes
   */
  public Optional<HomeRanges> completeMoves(
      HomeRanges row, int slices, String dataCentre, Predicate<SliceRange> released) {
    List<HomeRange> moved = new ArrayList<>();
    for (HomeRange unit : divide(row, slices)) {
      boolean leaving = unit.getDataCentre().equals(dataCentre) && !unit.getMovingTo().isEmpty();
      boolean due = leaving && released.test(SliceRange.of(unit.getRange()));
      moved.add(due ? moved(unit) : unit);
    }
    return changed(row, moved);
  }

  /**
   * Gives the homes of a data centre that can serve nothing any more to others.
   *
   * @param row the present homes
   * @param slices slices that the hash space is divided into
   * @param lost the data centre
   * @param targets data centres that may receive homes, sorted
   * @return the changed homes; empty if nothing changes
   */
  public Optional<HomeRanges> takeOver(
      HomeRanges row, int slices, String lost, List<String> targets) {
    List<HomeRange> units = divide(row, slices);
    Map<String, Integer> counts = counts(units, targets);
    List<HomeRange> taken = new ArrayList<>();
    int moves = 0;
    for (HomeRange unit : units) {
      if (!unit.getDataCentre().equals(lost) || counts.isEmpty() || moves == maxMoving) {
        taken.add(unit);
        continue;
      }
      String target = targets.contains(unit.getMovingTo()) ? unit.getMovingTo() : least(counts);
      counts.merge(target, 1, Integer::sum);
      taken.add(moved(withTarget(unit, target)));
      moves++;
    }
    return changed(row, taken);
  }

  private static HomeRange moved(HomeRange unit) {
    boolean back = unit.getMovingTo().equals(unit.getPreferred());
    return unit.toBuilder()
        .setDataCentre(unit.getMovingTo())
        .setMovingTo("")
        .setPreferred(back ? "" : unit.getPreferred())
        .build();
  }

  private static HomeRange next(
      HomeRange unit, List<String> available, List<String> targets, Map<String, Integer> counts) {
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
    return withTarget(unit, least(counts));
  }

  private static HomeRange withTarget(HomeRange unit, String target) {
    String home = unit.getDataCentre();
    String preferred = unit.getPreferred();
    boolean leavesPreferred = !target.isEmpty() && preferred.isEmpty();
    boolean stays = target.isEmpty() && preferred.equals(home);
    String nextPreferred = leavesPreferred ? home : stays ? "" : preferred;
    return unit.toBuilder().setMovingTo(target).setPreferred(nextPreferred).build();
  }

  private static Map<String, Integer> counts(List<HomeRange> units, List<String> available) {
    Map<String, Integer> counts = new HashMap<>();
    available.forEach(name -> counts.put(name, 0));
    for (HomeRange unit : units) {
      String at = unit.getMovingTo().isEmpty() ? unit.getDataCentre() : unit.getMovingTo();
      counts.computeIfPresent(at, (name, count) -> count + 1);
    }
    return counts;
  }

  private static String least(Map<String, Integer> counts) {
    return counts.entrySet().stream()
        .min(
            Comparator.comparingInt(Map.Entry<String, Integer>::getValue)
                .thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }

  private static List<HomeRange> divide(HomeRanges row, int slices) {
    List<SliceRange> all = SliceRange.divide(slices);
    List<HomeRange> units = new ArrayList<>();
    for (HomeRange home : row.getRangesList()) {
      SliceRange whole = SliceRange.of(home.getRange());
      List<SliceRange> parts =
          all.stream()
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

  private static Optional<HomeRanges> changed(HomeRanges row, List<HomeRange> units) {
    HomeRanges next = row.toBuilder().clearRanges().addAllRanges(join(units)).build();
    HomeRanges present =
        row.toBuilder().clearRanges().addAllRanges(join(row.getRangesList())).build();
    return next.equals(present) ? Optional.empty() : Optional.of(next);
  }

  private static List<HomeRange> join(List<HomeRange> units) {
    List<HomeRange> joined = new ArrayList<>();
    for (HomeRange unit : units) {
      int last = joined.size() - 1;
      boolean same = last >= 0 && sameHome(joined.get(last), unit);
      if (same) {
        HomeRange.Builder wider = joined.get(last).toBuilder();
        wider.getRangeBuilder().setLast(unit.getRange().getLast());
        joined.set(last, wider.build());
      } else {
        joined.add(unit);
      }
    }
    return joined;
  }

  private static boolean sameHome(HomeRange a, HomeRange b) {
    return a.getRange().getLast() + 1 == b.getRange().getFirst()
        && a.toBuilder().clearRange().build().equals(b.toBuilder().clearRange().build());
  }
}
