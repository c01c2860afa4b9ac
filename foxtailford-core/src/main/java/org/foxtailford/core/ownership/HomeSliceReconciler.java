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
 * Reconciles the slices of a term with the home ranges of its data centre.
 *
 * <p>Existing slices in the home ranges stay as they are. The gaps between them are filled with the
 * service's initial slices, trimmed where they overlap existing ones. A slice that no longer has
 * its home here is split at the borders of the initial slices; the parts that still have their home
 * here keep owner and fence, and the others are marked for release by their owner. Not thread-safe.
 */
final class HomeSliceReconciler {

  private final String dataCentre;
  private final Supplier<HomesSnapshot> homes;
  private final MillisClock clock;
  private final StalledMoves stalled;
  private final Map<String, ReconciledState> reconciled = new HashMap<>();

  /** The state with which the slices of a service were last reconciled. */
  private record ReconciledState(
      LeaderTerm term, HomeDirectory homes, boolean stalled, int initialSlices, long changes) {}

  HomeSliceReconciler(String dataCentre, Supplier<HomesSnapshot> homes, MillisClock clock) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.homes = Assert.notNull(homes, "homes");
    this.clock = Assert.notNull(clock, "clock");
    this.stalled = new StalledMoves(homes, clock);
  }

  /** Records that a write to a homes row is about to be sent which completes moves of slices. */
  void recordPendingHandover(HomeRanges row) {
    stalled.recordPendingHandover(row);
  }

  /** Records that the table answered a call that was sent at the given time. */
  void recordTableResponse(long sentMs) {
    stalled.recordTableResponse(sentMs);
  }

  /**
   * Returns whether moves of a service cannot be completed because the table does not answer, so
   * that its slices stay in use here.
   */
  boolean isStalled(String service) {
    return stalled.isStalled(service);
  }

  /** Reconciles the slices of a service, if anything changed since the last time. */
  void reconcile(LeaderTerm term, ServiceView service) {
    String name = service.definition().getName();
    if (currentState(term, service).equals(reconciled.get(name))) {
      return;
    }
    List<SliceRange> initialRanges = SliceRange.divide(service.definition().getInitialSlices());
    term.slices().slices(name).forEach(state -> reconcile(term, state, initialRanges));
    initialRanges.stream()
        .filter(range -> isHome(name, range))
        .forEach(range -> addMissing(term.slices(), name, range));
    reconciled.put(name, currentState(term, service));
  }

  private ReconciledState currentState(LeaderTerm term, ServiceView service) {
    int initialSlices = service.definition().getInitialSlices();
    boolean movesStalled = stalled.isStalled(service.definition().getName());
    return new ReconciledState(
        term,
        homes.get().directory(),
        movesStalled,
        initialSlices,
        term.slices().modificationCount());
  }

  /**
   * Returns whether a whole range has its home here and either no pending move or one that is
   * stalled.
   */
  boolean isHome(String service, SliceRange range) {
    HomeDirectory directory = homes.get().directory();
    return directory.isHome(dataCentre, service, range)
        || stalled.isStalled(service) && directory.isCurrentHome(dataCentre, service, range);
  }

  /**
   * Returns whether, by the current homes, a slice of this data centre may cover a key of a range.
   */
  boolean mayCover(SliceTable slices, ServiceView service, SliceRange range) {
    String name = service.definition().getName();
    boolean known =
        slices.overlapping(name, range).stream()
            .anyMatch(state -> isHome(name, state.key().range()));
    return known
        || SliceRange.divide(service.definition().getInitialSlices()).stream()
            .anyMatch(initial -> initial.overlaps(range) && isHome(name, initial));
  }

  private void reconcile(LeaderTerm term, SliceState state, List<SliceRange> initialRanges) {
    SliceKey key = state.key();
    if (isHome(key.service(), key.range())) {
      state.setRetiring(false);
    } else if (state.assignment().isEmpty()) {
      term.slices().remove(state);
    } else if (state.isReleasePending()) {
      state.setRetiring(true);
    } else {
      splitOrRetire(term, state, initialRanges);
    }
  }

  private void splitOrRetire(LeaderTerm term, SliceState state, List<SliceRange> initialRanges) {
    List<SliceRange> parts = new ArrayList<>();
    initialRanges.stream()
        .filter(range -> range.overlaps(state.key().range()))
        .forEach(range -> parts.add(range.intersection(state.key().range())));
    List<SliceState> after = parts.size() > 1 ? term.split(state, parts) : List.of(state);
    after.stream()
        .filter(part -> !isHome(part.key().service(), part.key().range()))
        .forEach(part -> part.setRetiring(true));
  }

  /** Adds slices for the parts of a range that existing slices do not cover. */
  private void addMissing(SliceTable slices, String service, SliceRange range) {
    long firstMissing = range.first();
    for (SliceState known : slices.overlapping(service, range)) {
      SliceRange covered = known.key().range();
      if (Long.compareUnsigned(firstMissing, covered.first()) < 0) {
        slices.add(
            new SliceKey(service, new SliceRange(firstMissing, covered.first() - 1)),
            clock.nowMs());
      }
      if (Long.compareUnsigned(covered.last(), range.last()) >= 0) {
        return;
      }
      firstMissing = covered.last() + 1;
    }
    slices.add(new SliceKey(service, new SliceRange(firstMissing, range.last())), clock.nowMs());
  }
}
