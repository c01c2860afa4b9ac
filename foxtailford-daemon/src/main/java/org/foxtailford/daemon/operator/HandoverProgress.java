package org.foxtailford.daemon.operator;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRange;

/**
 * Counts the slices of keyed services per data centre, among them those that still have to move to
 * the data centre that the configuration assigns them. Computed from the routing snapshot of one
 * VM. Immutable.
 */
final class HandoverProgress {

  private static final Counts NONE = new Counts(0, 0, 0, 0);

  private final Map<String, Counts> byDataCentre = new HashMap<>();

  /**
   * Slice counts of one data centre.
   *
   * @param homes slices whose home is this data centre
   * @param leaving slices among {@code homes} that are to move to another data centre
   * @param arriving slices of other data centres that are to move to this one
   * @param unowned slices that stay in this data centre and have no owner
   */
  record Counts(int homes, int leaving, int arriving, int unowned) {

    private Counts plus(Counts other) {
      return new Counts(
          homes + other.homes,
          leaving + other.leaving,
          arriving + other.arriving,
          unowned + other.unowned);
    }
  }

  /**
   * Counts the slices of all keyed services.
   *
   * @param snapshot routing state of the VM; contains owners of its own data centre only, so slices
   *     of other data centres never count as unowned
   */
  HandoverProgress(RoutingSnapshot snapshot) {
    Assert.notNull(snapshot, "snapshot");
    snapshot.configuration().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .forEach(service -> addService(service, snapshot));
  }

  /** Returns the counts of a data centre, all zero if it is the home or target of no slice. */
  Counts countsOf(String dataCentre) {
    return byDataCentre.getOrDefault(dataCentre, NONE);
  }

  private void addService(ServiceView service, RoutingSnapshot snapshot) {
    String name = service.definition().getName();
    Set<String> available = availableDataCentres(service.upstreams());
    for (SliceRange slice : SliceRange.divide(service.definition().getInitialSlices())) {
      Optional<HomeRange> range = snapshot.homes().range(name, slice.first());
      range.ifPresent(home -> addSlice(home, available, isUnowned(home, name, slice, snapshot)));
    }
  }

  private static Set<String> availableDataCentres(Collection<Upstream> upstreams) {
    return upstreams.stream()
        .filter(Upstream::available)
        .map(Upstream::dataCentre)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static boolean isUnowned(
      HomeRange home, String service, SliceRange slice, RoutingSnapshot snapshot) {
    return home.getDataCentre().equals(snapshot.dataCentre())
        && snapshot.owners().owner(service, slice.first()).isEmpty();
  }

  private void addSlice(HomeRange home, Set<String> available, boolean unowned) {
    String current = home.getDataCentre();
    Optional<String> target = findTarget(home, available);
    boolean isLeaving = !available.isEmpty() && !target.equals(Optional.of(current));
    boolean isStaying = !isLeaving && !available.isEmpty();
    addCounts(current, new Counts(1, isLeaving ? 1 : 0, 0, isStaying && unowned ? 1 : 0));
    if (isLeaving) {
      target.ifPresent(next -> addCounts(next, new Counts(0, 0, 1, 0)));
    }
  }

  /**
   * Returns the data centre that a slice is to be in, or empty if its home has no available
   * upstream and no other data centre has been chosen yet.
   */
  private static Optional<String> findTarget(HomeRange home, Set<String> available) {
    if (!home.getMovingTo().isEmpty()) {
      return Optional.of(home.getMovingTo());
    }
    if (available.contains(home.getPreferred())) {
      return Optional.of(home.getPreferred());
    }
    return Optional.of(home.getDataCentre()).filter(available::contains);
  }

  private void addCounts(String dataCentre, Counts increment) {
    byDataCentre.merge(dataCentre, increment, Counts::plus);
  }
}
