package org.foxtailford.daemon.load;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.foxtailford.core.load.SliceLoadAggregator;
import org.foxtailford.core.load.SliceLoadRecorder;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.peer.PeerMessenger;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.LoadReport;
import org.foxtailford.schema.PeerFrame;

/**
 * Reports every few seconds to the data centre's leader what this VM sent to owners, and takes the
 * reports of others while this VM leads.
 *
 * <p>Counts of a time that is much longer than usual, after a pause of this process, are dropped:
 * the leader would take them for load of this moment. Not thread-safe: all calls run on the control
 * executor, but the recorder may count on any thread.
 */
public final class LoadReporting {

  /** Usual time between two reports, in milliseconds. */
  public static final int INTERVAL_MS = 2000;

  private static final int MAX_AGE_MS = 3 * INTERVAL_MS;

  private final PeerIdentity self;
  private final SliceLoadRecorder recorder;
  private final SliceLoadAggregator book;
  private final MembershipTracker tracker;
  private final PeerMessenger peers;
  private final Supplier<OwnershipMap> owners;
  private final BooleanSupplier leads;
  private final MillisClock clock;
  private Fence countedVersion = Fence.NONE;
  private long lastReportMs;

  /**
   * Creates a part that reported nothing yet.
   *
   * @param self this VM
   * @param recorder counts what this VM sends
   * @param book takes reports while this VM leads
   * @param tracker knows the leader
   * @param peers sends messages to other entry VMs
   * @param owners gives the owners that this VM routes by
   * @param leads tells whether this VM leads its data centre
   * @param clock clock of this VM
   */
  public LoadReporting(
      PeerIdentity self,
      SliceLoadRecorder recorder,
      SliceLoadAggregator book,
      MembershipTracker tracker,
      PeerMessenger peers,
      Supplier<OwnershipMap> owners,
      BooleanSupplier leads,
      MillisClock clock) {
    this.self = Assert.notNull(self, "self");
    this.recorder = Assert.notNull(recorder, "recorder");
    this.book = Assert.notNull(book, "book");
    this.tracker = Assert.notNull(tracker, "tracker");
    this.peers = Assert.notNull(peers, "peers");
    this.owners = Assert.notNull(owners, "owners");
    this.leads = Assert.notNull(leads, "leads");
    this.clock = Assert.notNull(clock, "clock");
    this.lastReportMs = clock.nowMs();
  }

  /** Reports if it is time. Called at every renewal interval. */
  public void tick() {
    countByOwnersInForce();
    long sinceMs = clock.nowMs() - lastReportMs;
    if (sinceMs < INTERVAL_MS) {
      return;
    }
    lastReportMs = clock.nowMs();
    if (sinceMs > MAX_AGE_MS) {
      recorder.discard();
      return;
    }
    send(recorder.report());
  }

  /**
   * Takes the report of another entry VM.
   *
   * @return whether the message was one
   */
  public boolean onFrame(PeerIdentity sender, PeerFrame frame) {
    if (!frame.hasLoadReport()) {
      return false;
    }
    LoadReport report = frame.getLoadReport();
    boolean own = sender.vm().equals(report.getVm()) && sender.bootId() == report.getBootId();
    if (own && sender.dataCentre().equals(self.dataCentre()) && leads.getAsBoolean()) {
      book.accept(report);
    }
    return true;
  }

  private void countByOwnersInForce() {
    OwnershipMap current = owners.get();
    if (current.version().equals(countedVersion)) {
      return;
    }
    countedVersion = current.version();
    for (String service : current.services()) {
      recorder.useLayout(
          service,
          new SliceLayout(current.slices(service).stream().map(SliceAssignment::range).toList()));
    }
  }

  private void send(LoadReport report) {
    if (leads.getAsBoolean()) {
      book.accept(report);
      book.retainReporters(tracker.usableVms(self.dataCentre()));
      return;
    }
    Optional<String> leader = tracker.leader();
    PeerFrame frame = PeerFrame.newBuilder().setLoadReport(report).build();
    leader.ifPresent(vm -> peers.send(vm, frame));
  }
}
