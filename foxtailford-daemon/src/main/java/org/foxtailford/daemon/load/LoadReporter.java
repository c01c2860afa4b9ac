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
 * Reports the load that this VM sends to owners to the leader of its data centre at a fixed
 * interval, and aggregates the reports of other entry VMs while this VM leads.
 *
 * <p>Counts of a period much longer than the interval, as after a pause of this process, are
 * dropped: the leader would mistake them for current load. Not thread-safe: all calls run on the
 * control executor, but the recorder may count on any thread.
 */
public final class LoadReporter {

  /** Minimum time between two reports, in milliseconds. */
  public static final int INTERVAL_MS = 2000;

  /** Longest period whose counts are reported, in milliseconds. */
  private static final int MAX_PERIOD_MS = 3 * INTERVAL_MS;

  private final PeerIdentity self;
  private final SliceLoadRecorder recorder;
  private final SliceLoadAggregator aggregator;
  private final MembershipTracker tracker;
  private final PeerMessenger peers;
  private final Supplier<OwnershipMap> ownershipMap;
  private final BooleanSupplier leads;
  private final MillisClock clock;
  private Fence layoutVersion = Fence.NONE;
  private long lastReportMs;

  /**
   * Creates a reporter; the first reported period begins now.
   *
   * @param self identifies this VM
   * @param recorder counts the requests that this VM sends to owners
   * @param aggregator aggregates the reports while this VM leads
   * @param tracker provides the leader and the usable VMs of the data centre
   * @param peers sends messages to other entry VMs
   * @param ownershipMap provides the ownership map by which this VM routes
   * @param leads returns whether this VM leads its data centre
   * @param clock clock of this VM
   */
  public LoadReporter(
      PeerIdentity self,
      SliceLoadRecorder recorder,
      SliceLoadAggregator aggregator,
      MembershipTracker tracker,
      PeerMessenger peers,
      Supplier<OwnershipMap> ownershipMap,
      BooleanSupplier leads,
      MillisClock clock) {
    this.self = Assert.notNull(self, "self");
    this.recorder = Assert.notNull(recorder, "recorder");
    this.aggregator = Assert.notNull(aggregator, "aggregator");
    this.tracker = Assert.notNull(tracker, "tracker");
    this.peers = Assert.notNull(peers, "peers");
    this.ownershipMap = Assert.notNull(ownershipMap, "ownershipMap");
    this.leads = Assert.notNull(leads, "leads");
    this.clock = Assert.notNull(clock, "clock");
    this.lastReportMs = clock.nowMs();
  }

  /**
   * Sends a report if at least {@link #INTERVAL_MS} passed since the last one. Called at every
   * renewal interval.
   */
  public void tick() {
    updateLayouts();
    long elapsedMs = clock.nowMs() - lastReportMs;
    if (elapsedMs < INTERVAL_MS) {
      return;
    }
    lastReportMs = clock.nowMs();
    if (elapsedMs > MAX_PERIOD_MS) {
      recorder.discard();
      return;
    }
    submit(recorder.report());
  }

  /**
   * Handles a load report of another entry VM. The report is ignored unless this VM leads, the
   * sender is in the same data centre, and the report is the sender's own.
   *
   * @return whether the frame is a load report, also if it was ignored
   */
  public boolean onFrame(PeerIdentity sender, PeerFrame frame) {
    if (!frame.hasLoadReport()) {
      return false;
    }
    LoadReport report = frame.getLoadReport();
    boolean isSendersOwn =
        sender.vm().equals(report.getVm()) && sender.bootId() == report.getBootId();
    if (isSendersOwn && sender.dataCentre().equals(self.dataCentre()) && leads.getAsBoolean()) {
      aggregator.accept(report);
    }
    return true;
  }

  /** Makes the recorder count by the slices of the current ownership map. */
  private void updateLayouts() {
    OwnershipMap current = ownershipMap.get();
    if (current.version().equals(layoutVersion)) {
      return;
    }
    layoutVersion = current.version();
    for (String service : current.services()) {
      recorder.useLayout(
          service,
          new SliceLayout(current.slices(service).stream().map(SliceAssignment::range).toList()));
    }
  }

  private void submit(LoadReport report) {
    if (leads.getAsBoolean()) {
      aggregator.accept(report);
      aggregator.retainReporters(tracker.usableVms(self.dataCentre()));
      return;
    }
    Optional<String> leader = tracker.leader();
    PeerFrame frame = PeerFrame.newBuilder().setLoadReport(report).build();
    leader.ifPresent(vm -> peers.send(vm, frame));
  }
}
