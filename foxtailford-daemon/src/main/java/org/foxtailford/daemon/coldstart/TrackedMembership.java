package org.foxtailford.daemon.coldstart;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.util.Assert;

/**
 * Membership derived from heartbeats and the leadership lease. All methods must be called on the
 * control executor.
 */
public final class TrackedMembership implements GateMembership {

  private final String dataCentre;
  private final MembershipTracker tracker;
  private final Supplier<Optional<HeldLease>> leadership;

  /**
   * Creates a membership.
   *
   * @param dataCentre the data centre of this VM
   * @param tracker tracks the members from which heartbeats were received
   * @param leadership supplies the leadership lease, or empty if this VM does not hold it
   */
  public TrackedMembership(
      String dataCentre, MembershipTracker tracker, Supplier<Optional<HeldLease>> leadership) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.tracker = Assert.notNull(tracker, "tracker");
    this.leadership = Assert.notNull(leadership, "leadership");
  }

  @Override
  public Optional<HeldLease> leadership() {
    return leadership.get();
  }

  @Override
  public Optional<String> leader() {
    return tracker.leader();
  }

  @Override
  public List<String> liveVms() {
    return tracker.usableVms(dataCentre);
  }
}
