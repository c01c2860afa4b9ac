package org.foxtailford.testkit.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.RoutingLease;
import org.foxtailford.core.ownership.RoutingLeaseRegistry;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.foxtailford.testkit.time.FakeMillisClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RoutingLeaseTests {

  private static final OwnershipTiming TIMING = new OwnershipTiming(600, 200, 700, 10_000, 0);
  private static final Fence OLD = new Fence(1, 10);
  private static final Fence NEW = new Fence(1, 11);

  private FakeMillisClock clock;
  private LeaseElection election;
  private RoutingLeaseRegistry ledger;

  @BeforeMethod
  public void lead() {
    clock = new FakeMillisClock();
    clock.advance(5000);
    long[] writeIds = {0};
    election =
        new LeaseElection(
            "leader-dc-a",
            "entry-0",
            1,
            TIMING,
            new InMemoryTable(),
            clock,
            () -> ++writeIds[0],
            Runnable::run);
    ledger = new RoutingLeaseRegistry(election, TIMING, clock);
    election.tick();
    pass(TIMING.grantExpiryMs());
  }

  private void pass(long ms) {
    for (long i = 0; i < ms; i++) {
      clock.advance(1);
      if (clock.nowMs() % TIMING.renewIntervalMs() == 0) {
        election.tick();
      }
    }
  }

  @Test
  public void aSliceMovesOnlyAfterEveryLeaseOnTheOldMapLapsed() {
    assertThat(ledger.issue("entry-1", OLD)).isTrue();
    RoutingLease lease = RoutingLease.granted(OLD, clock.nowMs(), TIMING);
    while (lease.allows(OLD, clock.nowMs())) {
      assertThat(ledger.allExpiredBefore(NEW)).isFalse();
      pass(1);
    }
    pass(TIMING.grantExpiryMs() - TIMING.grantTtlMs());
    assertThat(ledger.allExpiredBefore(NEW)).isTrue();
  }

  @Test
  public void aNewLeaseDoesNotHideTheOldOne() {
    ledger.issue("entry-1", OLD);
    ledger.issue("entry-1", NEW);
    assertThat(ledger.allExpiredBefore(NEW)).isFalse();
    ledger.acknowledge("entry-1", NEW);
    assertThat(ledger.allExpiredBefore(NEW)).isTrue();
  }

  @Test
  public void aLeaseBetweenDoesNotHideAnOlderOne() {
    ledger.issue("entry-1", new Fence(1, 9));
    pass(100);
    ledger.issue("entry-1", OLD);
    ledger.issue("entry-1", NEW);
    assertThat(ledger.allExpiredBefore(OLD)).isFalse();
  }

  @Test
  public void aNewLeaderWaitsForTheLeasesOfTheEarlierOne() {
    long[] writeIds = {0};
    LeaseElection fresh =
        new LeaseElection(
            "leader-dc-b",
            "entry-0",
            1,
            TIMING,
            new InMemoryTable(),
            clock,
            () -> ++writeIds[0],
            Runnable::run);
    fresh.tick();
    assertThat(new RoutingLeaseRegistry(fresh, TIMING, clock).allExpiredBefore(NEW)).isFalse();
  }

  @Test
  public void nothingIsOrderedWithoutALiveTableLease() {
    clock.advance(TIMING.leaseTtlMs());
    assertThat(ledger.issue("entry-1", NEW)).isFalse();
    assertThat(ledger.allExpiredBefore(NEW)).isFalse();
  }

  @Test
  public void anEntryVmSendsOnlyByTheVersionOfItsLease() {
    RoutingLease lease = RoutingLease.granted(OLD, 100, TIMING);
    assertThat(lease.allows(OLD, 799)).isTrue();
    assertThat(lease.allows(OLD, 800)).isFalse();
    assertThat(lease.allows(NEW, 100)).isFalse();
  }
}
