package org.foxtailford.daemon.control;

import java.util.concurrent.atomic.AtomicReference;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.routing.RoutingSnapshot;

/** The snapshot that requests are routed by. Versions never go back. Thread-safe. */
public final class RoutingState {

  private final AtomicReference<RoutingSnapshot> snapshot;
  private volatile HomesSnapshot homes = HomesSnapshot.none();

  public RoutingState(String dataCentre) {
    snapshot = new AtomicReference<>(RoutingSnapshot.initial(dataCentre));
  }

  public RoutingSnapshot snapshot() {
    return snapshot.get();
  }

  /** Takes a configuration unless a newer one is in force. */
  public void acceptConfiguration(ConfigurationView view) {
    snapshot.updateAndGet(
        s -> view.version() >= s.configuration().version() ? s.withConfiguration(view) : s);
  }

  /** Takes the homes of ranges. */
  public synchronized void acceptHomes(HomesSnapshot reading) {
    homes = reading;
    snapshot.updateAndGet(s -> s.withHomes(reading.directory()));
  }

  /** Returns the homes of ranges and their age. */
  public HomesSnapshot homes() {
    return homes;
  }

  /**
   * Takes the owners of this data centre unless newer ones are known.
   *
   * @return whether they were taken
   */
  public boolean acceptOwners(OwnershipMap owners) {
    RoutingSnapshot after =
        snapshot.updateAndGet(s -> isNewer(owners, s) ? s.withOwners(owners) : s);
    return after.owners() == owners;
  }

  private static boolean isNewer(OwnershipMap owners, RoutingSnapshot s) {
    return owners.dataCentre().equals(s.dataCentre())
        && owners.version().compareTo(s.owners().version()) > 0;
  }
}
