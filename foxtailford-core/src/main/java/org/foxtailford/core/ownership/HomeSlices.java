package org.foxtailford.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;

/**
 * Fits the slices of a term to the homes of keys.
 *
 * <p>Slices that are known stay as they are. What they leave of the home ranges is filled with the
 * service's initial slices, cut where they overlap known ones. A slice that is not at home here any
 * more is cut at the borders of the initial slices; parts that stay keep owner and fence, the
 * others are taken from their owner. Not thread-safe.
 */
final class HomeSlices {

  private final String dataCentre;
  private final Supplier<HomesReading> homes;
  private final MillisClock clock;
  private final StalledMoves stalled;
  private final Map<String, Fitted> fitted = new HashMap<>();

  /** What a service's slices were last fitted to. */
  private record Fitted(
      LeaderTerm term, HomeDirectory homes, boolean stalled, int initialSlices, long changes) {}

  HomeSlices(String dataCentre, Supplier<HomesReading> homes, MillisClock clock) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.homes = Assert.notNull(homes, "homes");
    this.clock = Assert.notNull(clock, "clock");
    this.stalled = new StalledMoves(homes, clock);
  }

  /** Notes that a row which gives released slices to their next homes is about to be written. */
  void recordPendingHandover(HomeRanges row) {
    stalled.recordPendingHandover(row);
  }

  /** Notes that the table answered a call that was sent at a time. */
  void recordTableResponse(long sentMs) {
    stalled.recordTableResponse(sentMs);
  }

  /** Tells whether the moves of a service wait for the table, so that its slices stay in use. */
  boolean isStalled(String service) {
    return stalled.isStalled(service);
  }

  /** Fits the slices of a service unless nothing changed since the last time. */
  void fit(LeaderTerm term, ServiceView service) {
    String name = service.definition().getName();
    if (reading(term, service).equals(fitted.get(name))) {
      return;
    }
    List<SliceRange> grid = SliceRange.divide(service.definition().getInitialSlices());
    term.slices().slices(name).forEach(state -> fit(term, state, grid));
    grid.stream()
        .filter(range -> isHome(name, range))
        .forEach(range -> fill(term.slices(), name, range));
    fitted.put(name, reading(term, service));
  }

  private Fitted reading(LeaderTerm term, ServiceView service) {
    int initialSlices = service.definition().getInitialSlices();
    boolean stays = stalled.isStalled(service.definition().getName());
    return new Fitted(
        term, homes.get().directory(), stays, initialSlices, term.slices().modificationCount());
  }

  /** Tells whether a whole range is at home here and is to stay for now. */
  boolean isHome(String service, SliceRange range) {
    HomeDirectory directory = homes.get().directory();
    return directory.isHome(dataCentre, service, range)
        || stalled.isStalled(service) && directory.isPresentHome(dataCentre, service, range);
  }

  /** Tells whether a slice may have a key of a range, by the homes of this moment. */
  boolean plans(SliceTable slices, ServiceView service, SliceRange range) {
    String name = service.definition().getName();
    boolean known =
        slices.overlapping(name, range).stream()
            .anyMatch(state -> isHome(name, state.key().range()));
    return known
        || SliceRange.divide(service.definition().getInitialSlices()).stream()
            .anyMatch(initial -> initial.overlaps(range) && isHome(name, initial));
  }

  private void fit(LeaderTerm term, SliceState state, List<SliceRange> grid) {
    SliceKey key = state.key();
    if (isHome(key.service(), key.range())) {
      state.setRetiring(false);
    } else if (state.assignment().isEmpty()) {
      term.slices().remove(state);
    } else if (state.isReleasePending()) {
      state.setRetiring(true);
    } else {
      cut(term, state, grid);
    }
  }

  private void cut(LeaderTerm term, SliceState state, List<SliceRange> grid) {
    List<SliceRange> parts = new ArrayList<>();
    grid.stream()
        .filter(range -> range.overlaps(state.key().range()))
        .forEach(range -> parts.add(range.intersection(state.key().range())));
    List<SliceState> after = parts.size() > 1 ? term.split(state, parts) : List.of(state);
    after.stream()
        .filter(part -> !isHome(part.key().service(), part.key().range()))
        .forEach(part -> part.setRetiring(true));
  }

  /** Adds slices for what the known ones leave of a range. */
  private void fill(SliceTable slices, String service, SliceRange range) {
    long next = range.first();
    for (SliceState known : slices.overlapping(service, range)) {
      SliceRange taken = known.key().range();
      if (Long.compareUnsigned(next, taken.first()) < 0) {
        slices.add(new SliceKey(service, new SliceRange(next, taken.first() - 1)), clock.nowMs());
      }
      if (Long.compareUnsigned(taken.last(), range.last()) >= 0) {
        return;
      }
      next = taken.last() + 1;
    }
    slices.add(new SliceKey(service, new SliceRange(next, range.last())), clock.nowMs());
  }
}
