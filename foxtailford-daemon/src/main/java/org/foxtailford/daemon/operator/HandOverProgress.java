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
 * How far the slices of keyed services have moved to the data centres where the configuration wants
 * them, by what one VM sees. Immutable.
 */
final class HandOverProgress {

  private static final Counts NONE = new Counts(0, 0, 0, 0);

  private final Map<String, Counts> byDataCentre = new HashMap<>();

  /**
   * Slices of one data centre.
   *
   * @param homes slices whose home it is
   * @param leaving those among them that are to move to another data centre
   * @param arriving slices of other data centres that are to move to it
   * @param unowned slices that stay there and have no owner
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
   * Counts the slices.
   *
   * @param snapshot what the VM routes by; it knows the owners of its own data centre alone
   */
  HandOverProgress(RoutingSnapshot snapshot) {
    Assert.notNull(snapshot, "snapshot");
    snapshot.configuration().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .forEach(service -> add(service, snapshot));
  }

  /** Returns the slices of a data centre. */
  Counts of(String dataCentre) {
    return byDataCentre.getOrDefault(dataCentre, NONE);
  }

  private void add(ServiceView service, RoutingSnapshot snapshot) {
    String name = service.definition().getName();
    Set<String> available = availableDataCentres(service.upstreams());
    for (SliceRange slice : SliceRange.divide(service.definition().getInitialSlices())) {
      Optional<HomeRange> range = snapshot.homes().range(name, slice.first());
      range.ifPresent(home -> add(home, available, isUnowned(home, name, slice, snapshot)));
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

  private void add(HomeRange home, Set<String> available, boolean unowned) {
    String present = home.getDataCentre();
    Optional<String> target = target(home, available);
    boolean leaves = !available.isEmpty() && !target.equals(Optional.of(present));
    boolean stays = !leaves && !available.isEmpty();
    count(present, new Counts(1, leaves ? 1 : 0, 0, stays && unowned ? 1 : 0));
    if (leaves) {
      target.ifPresent(next -> count(next, new Counts(0, 0, 1, 0)));
    }
  }

  /** Returns where a slice is to be; empty if its home is out and no other one is named yet. */
  private static Optional<String> target(HomeRange home, Set<String> available) {
    if (!home.getMovingTo().isEmpty()) {
      return Optional.of(home.getMovingTo());
    }
    if (available.contains(home.getPreferred())) {
      return Optional.of(home.getPreferred());
    }
    return Optional.of(home.getDataCentre()).filter(available::contains);
  }

  private void count(String dataCentre, Counts more) {
    byDataCentre.merge(dataCentre, more, Counts::plus);
  }
}
