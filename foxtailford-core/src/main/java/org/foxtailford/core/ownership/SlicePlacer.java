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
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.placement.UpstreamCapacity;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Decides which slices a term has and which upstreams receive them.
 *
 * <p>A slice that has its home here and no owner is placed once every grant of an earlier leader
 * has lapsed; a slice whose home went elsewhere is taken from its owner. Not thread-safe.
 */
final class SlicePlacer {

  private final String dataCentre;
  private final OwnershipTiming timing;
  private final PlacementSetup setup;
  private final Supplier<ConfigurationView> configuration;
  private final Supplier<HomesReading> homes;
  private final MillisClock clock;
  private final Map<String, Long> lastRoundMs = new HashMap<>();

  SlicePlacer(
      String dataCentre,
      OwnershipTiming timing,
      PlacementSetup setup,
      Supplier<ConfigurationView> configuration,
      Supplier<HomesReading> homes,
      MillisClock clock) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.timing = Assert.notNull(timing, "timing");
    this.setup = Assert.notNull(setup, "setup");
    this.configuration = Assert.notNull(configuration, "configuration");
    this.homes = Assert.notNull(homes, "homes");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Plans one round for every keyed service; the term must be closed. */
  void placeAll(LeaderTerm term) {
    configuration.get().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .forEach(service -> place(term, service));
  }

  /** Tells whether a slice of this data centre may have a key of a range. */
  boolean plans(String service, SliceRange range) {
    return configuration.get().service(service).stream()
        .flatMap(view -> localSlices(view).stream())
        .anyMatch(key -> key.range().overlaps(range));
  }

  private void place(LeaderTerm term, ServiceView service) {
    String name = service.definition().getName();
    List<SliceKey> local = localSlices(service);
    retireOthers(term, name, local);
    addMissing(term, local);
    boolean mayTakeUnfound =
        clock.nowMs() >= term.closedMs().orElseThrow() + timing.lapsedGrantMs();
    Set<SliceKey> planned = new HashSet<>(local);
    List<SliceState> placeable =
        term.slices().slices(name).stream()
            .filter(state -> planned.contains(state.key()))
            .filter(state -> state.found() || mayTakeUnfound)
            .toList();
    planRound(term, name, placeable, usableUpstreams(term, service));
  }

  private void planRound(
      LeaderTerm term, String service, List<SliceState> placeable, List<String> usable) {
    long nowMs = clock.nowMs();
    Long last = lastRoundMs.get(service);
    boolean due = last == null || nowMs - last >= setup.intervalMs();
    Set<String> owners = new HashSet<>(usable);
    Set<SliceRange> homeless =
        placeable.stream()
            .filter(state -> state.effectiveOwner().filter(owners::contains).isEmpty())
            .map(state -> state.key().range())
            .collect(Collectors.toSet());
    if (!due && homeless.isEmpty()) {
      return;
    }
    PlacementPlan plan = setup.policy().planRound(round(term, service, placeable, usable));
    for (SliceMove move : plan.moves()) {
      if (due || homeless.contains(move.range())) {
        apply(term, new SliceKey(service, move.range()), move.target());
      }
    }
    if (due) {
      lastRoundMs.put(service, nowMs);
    }
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

  /** Notes that entry VMs will count by the slices that have owners now. */
  void notePublished(LeaderTerm term) {
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
    return service.availableIn(dataCentre).stream()
        .map(Upstream::name)
        .filter(term::usable)
        .toList();
  }

  /** Takes slices that are no longer planned here away from their owners. */
  private static void retireOthers(LeaderTerm term, String service, List<SliceKey> local) {
    Set<SliceKey> planned = new HashSet<>(local);
    for (SliceState state : term.slices().slices(service)) {
      if (planned.contains(state.key())) {
        continue;
      }
      if (state.assignment().isEmpty()) {
        term.slices().remove(state);
      } else {
        state.retire();
      }
    }
  }

  private void addMissing(LeaderTerm term, List<SliceKey> local) {
    for (SliceKey key : local) {
      if (term.slices().overlapping(key.service(), key.range()).isEmpty()) {
        term.slices().add(key, clock.nowMs());
      }
    }
  }

  private List<SliceKey> localSlices(ServiceView service) {
    String name = service.definition().getName();
    return SliceRange.divide(service.definition().getInitialSlices()).stream()
        .filter(range -> homes.get().directory().isHome(dataCentre, name, range))
        .map(range -> new SliceKey(name, range))
        .toList();
  }

  private static void apply(LeaderTerm term, SliceKey key, String target) {
    term.slices()
        .find(key)
        .ifPresent(
            state -> {
              if (state.assignment().isPresent()) {
                state.setNextOwner(target);
              } else {
                term.assign(state, target);
              }
            });
  }
}
