package org.foxtailford.daemon.coldstart;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.util.Assert;

/** Membership as heartbeats and the leader's lease show it. Called on the control executor. */
public final class TrackedMembership implements GateMembership {

  private final String dataCentre;
  private final MembershipTracker tracker;
  private final Supplier<Optional<HeldLease>> leadership;

  /**
   * Creates a membership.
   *
   * @param dataCentre data centre of this VM
   * @param tracker members that were heard from
   * @param leadership gives the lease of the leader if this VM holds it
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
