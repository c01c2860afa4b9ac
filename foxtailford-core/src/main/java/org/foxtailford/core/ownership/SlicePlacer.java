package org.foxtailford.core.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.SliceMove;
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
  private final PlacementPolicy policy;
  private final Supplier<ConfigurationView> configuration;
  private final Supplier<HomesReading> homes;
  private final MillisClock clock;

  SlicePlacer(
      String dataCentre,
      OwnershipTiming timing,
      PlacementPolicy policy,
      Supplier<ConfigurationView> configuration,
      Supplier<HomesReading> homes,
      MillisClock clock) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.timing = Assert.notNull(timing, "timing");
    this.policy = Assert.notNull(policy, "policy");
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
    List<PlacedSlice> placed = new ArrayList<>();
    for (SliceState state : term.slices().slices(name)) {
      if (planned.contains(state.key()) && (state.found() || mayTakeUnfound)) {
        placed.add(new PlacedSlice(state.key().range(), state.effectiveOwner(), 0));
      }
    }
    for (SliceMove move : policy.plan(placed, usableUpstreams(term, service))) {
      apply(term, new SliceKey(name, move.range()), move.target());
    }
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
