package org.foxtailford.core.ownership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPlan;
import org.foxtailford.core.placement.PlacementRound;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.placement.UpstreamCapacity;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;

/**
 * Decides which slices a data centre has and which of its upstreams owns each of them.
 *
 * <p>A slice whose home is in this data centre and that this leader has not yet assigned is placed
 * once every grant of an earlier leader has lapsed, at its last owner if that is known and usable.
 * A slice whose home moved to another data centre is withdrawn from its owner. Not thread-safe.
 */
final class SlicePlacer {

  private final String dataCentre;
  private final OwnershipTiming timing;
  private final PlacementSetup setup;
  private final Supplier<ConfigurationView> configuration;
  private final Supplier<HomesSnapshot> homes;
  private final HomeSliceReconciler homeSlices;
  private final MillisClock clock;
  private final Map<String, Long> lastRoundMs = new HashMap<>();

  SlicePlacer(
      String dataCentre,
      OwnershipTiming timing,
      PlacementSetup setup,
      Supplier<ConfigurationView> configuration,
      Supplier<HomesSnapshot> homes,
      MillisClock clock) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.timing = Assert.notNull(timing, "timing");
    this.setup = Assert.notNull(setup, "setup");
    this.configuration = Assert.notNull(configuration, "configuration");
    this.clock = Assert.notNull(clock, "clock");
    this.homes = Assert.notNull(homes, "homes");
    homeSlices = new HomeSliceReconciler(dataCentre, homes, clock);
  }

  /** Runs one placement round for every keyed service. The term must be active. */
  void placeAll(LeaderTerm term) {
    configuration.get().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .filter(service -> mayPlace(term, service.definition().getName()))
        .forEach(service -> place(term, service));
  }

  /**
   * Returns whether a term has claimed the homes of a service. Until then it must not place slices
   * of that service.
   */
  boolean mayPlace(LeaderTerm term, String service) {
    return homes.get().directory().mayPlace(service, dataCentre, term.epoch());
  }

  /**
   * Records that a home row is about to be written that hands released slices over to their next
   * homes.
   */
  void recordPendingHandover(HomeRanges row) {
    homeSlices.recordPendingHandover(row);
  }

  /**
   * Records that the table service responded to a call.
   *
   * @param sentMs time at which the call was sent, on the clock of this VM
   */
  void recordTableResponse(long sentMs) {
    homeSlices.recordTableResponse(sentMs);
  }

  /**
   * Returns whether, by the current homes, a slice of this data centre may include a key of a
   * range.
   */
  boolean mayOwn(LeaderTerm term, String service, SliceRange range) {
    return configuration.get().findService(service).stream()
        .anyMatch(view -> homeSlices.mayCover(term.slices(), view, range));
  }

  private void place(LeaderTerm term, ServiceView service) {
    homeSlices.reconcile(term, service);
    boolean mayPlaceUnassigned =
        clock.nowMs() >= term.activeSinceMs().orElseThrow() + timing.grantExpiryMs();
    String name = service.definition().getName();
    List<SliceState> placeable =
        term.slices().slices(name).stream()
            .filter(state -> !state.isRetiring())
            .filter(state -> state.wasAssigned() || mayPlaceUnassigned)
            .toList();
    List<String> usable = usableUpstreams(term, service);
    placeable.forEach(state -> reassignToLastOwner(term, state, usable));
    planRound(term, name, placeable, usable);
  }

  /**
   * Assigns a slice whose grant lapsed under an earlier leader to its last owner, if that is
   * usable.
   */
  private static void reassignToLastOwner(LeaderTerm term, SliceState state, List<String> usable) {
    if (!state.wasAssigned()) {
      state
          .lapsedAssignment()
          .map(SliceAssignment::upstream)
          .filter(usable::contains)
          .ifPresent(upstream -> term.assign(state, upstream));
    }
  }

  private void planRound(
      LeaderTerm term, String service, List<SliceState> placeable, List<String> usable) {
    long nowMs = clock.nowMs();
    Long last = lastRoundMs.get(service);
    boolean due = last == null || nowMs - last >= setup.intervalMs();
    Set<SliceRange> orphaned = orphaned(placeable, usable);
    if (!due && orphaned.isEmpty()) {
      return;
    }
    PlacementPlan plan = setup.policy().planRound(round(term, service, placeable, usable));
    PlanExecution execution =
        new PlanExecution(term, service, orphaned, range -> homeSlices.isHome(service, range));
    if (due) {
      lastRoundMs.put(service, nowMs);
      execution.applyAll(plan);
    } else {
      execution.applyToOrphaned(plan);
    }
  }

  private static Set<SliceRange> orphaned(List<SliceState> slices, List<String> usable) {
    Set<String> owners = new HashSet<>(usable);
    return slices.stream()
        .filter(state -> state.effectiveOwner().filter(owners::contains).isEmpty())
        .map(state -> state.key().range())
        .collect(Collectors.toSet());
  }

  private PlacementRound round(
      LeaderTerm term, String service, List<SliceState> placeable, List<String> usable) {
    SliceLayout layout = layout(term.slices().slices(service));
    setup.loads().useLayout(service, layout);
    double[] rates = setup.loads().rates(service);
    List<PlacedSlice> slices =
        placeable.stream()
            .map(
                state ->
                    new PlacedSlice(
                        state.key().range(),
                        state.effectiveOwner(),
                        rates[layout.indexOf(state.key().range().first())]))
            .toList();
    return new PlacementRound(
        slices,
        usable.stream().map(UpstreamCapacity::accepting).toList(),
        setup.loads().hotKeys(service));
  }

  /**
   * Records the slices that have owners as the layout by which entry VMs count load from now on.
   */
  void recordPublished(LeaderTerm term) {
    for (String service : term.slices().services()) {
      List<SliceState> owned =
          term.slices().slices(service).stream()
              .filter(state -> state.assignment().isPresent())
              .toList();
      setup.loads().rememberLayout(service, layout(owned));
    }
  }

  private static SliceLayout layout(List<SliceState> slices) {
    return new SliceLayout(slices.stream().map(state -> state.key().range()).toList());
  }

  private List<String> usableUpstreams(LeaderTerm term, ServiceView service) {
    List<String> usable =
        service.availableIn(dataCentre).stream()
            .map(Upstream::name)
            .filter(term::isUsable)
            .toList();
    if (!usable.isEmpty() || !homeSlices.isStalled(service.definition().getName())) {
      return usable;
    }
    // While handovers are stalled, no other data centre can take the keys over, so upstreams that
    // are not available keep them.
    return service.upstreams().stream()
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .map(Upstream::name)
        .filter(term::isUsable)
        .toList();
  }
}
