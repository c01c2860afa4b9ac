package org.foxtailford.daemon.control;

import java.util.concurrent.atomic.AtomicReference;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.routing.RoutingSnapshot;

/** Holds the current routing snapshot, whose versions never decrease. Thread-safe. */
public final class RoutingState {

  private final AtomicReference<RoutingSnapshot> snapshot;
  private volatile HomesSnapshot homes = HomesSnapshot.none();

  public RoutingState(String dataCentre) {
    snapshot = new AtomicReference<>(RoutingSnapshot.initial(dataCentre));
  }

  public RoutingSnapshot snapshot() {
    return snapshot.get();
  }

  /** Applies a configuration unless the current one is newer. */
  public void acceptConfiguration(ConfigurationView view) {
    snapshot.updateAndGet(
        s -> view.version() >= s.configuration().version() ? s.withConfiguration(view) : s);
  }

  /** Replaces the homes of ranges. */
  public synchronized void acceptHomes(HomesSnapshot newHomes) {
    homes = newHomes;
    snapshot.updateAndGet(s -> s.withHomes(newHomes.directory()));
  }

  /** Returns the homes of ranges with the time as of which they were read. */
  public HomesSnapshot homes() {
    return homes;
  }

  /**
   * Applies owners if they are of this data centre and newer than the current ones.
   *
   * @return whether they are now the current owners
   */
  public boolean acceptOwners(OwnershipMap owners) {
    RoutingSnapshot updated =
        snapshot.updateAndGet(s -> isNewer(owners, s) ? s.withOwners(owners) : s);
    return updated.owners() == owners;
  }

  private static boolean isNewer(OwnershipMap owners, RoutingSnapshot s) {
    return owners.dataCentre().equals(s.dataCentre())
        && owners.version().compareTo(s.owners().version()) > 0;
  }
}
