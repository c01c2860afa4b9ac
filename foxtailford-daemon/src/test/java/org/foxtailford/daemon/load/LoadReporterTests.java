package org.foxtailford.daemon.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.foxtailford.core.load.SliceLoadAggregator;
import org.foxtailford.core.load.SliceLoadRecorder;
import org.foxtailford.core.membership.Member;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.daemon.peer.PeerMessenger;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.LoadReport;
import org.foxtailford.schema.MembershipUpdate;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.ServiceAssignment;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LoadReporterTests {

  private static final String SERVICE = "menu-planning";
  private static final List<SliceRange> SLICES = SliceRange.divide(4);
  private static final PeerIdentity SELF = new PeerIdentity("system", "e-1", "dc-a", 7);
  private static final PeerIdentity OTHER = new PeerIdentity("system", "e-2", "dc-a", 8);

  private long nowMs;
  private boolean leads;
  private SliceLoadRecorder recorder;
  private SliceLoadAggregator aggregator;
  private SentFrames sentFrames;
  private LoadReporter reporter;

  @BeforeMethod
  public void startReporter() {
    nowMs = 1000;
    leads = false;
    recorder = new SliceLoadRecorder(SELF.vm(), SELF.bootId());
    aggregator = new SliceLoadAggregator(() -> nowMs, SliceLoadAggregator.HALF_LIFE_MS);
    aggregator.useLayout(SERVICE, new SliceLayout(SLICES));
    sentFrames = new SentFrames();
    MembershipTracker tracker = new MembershipTracker(SELF.vm(), "dc-a", 1200, () -> nowMs);
    tracker.onUpdate(
        MembershipUpdate.newBuilder()
            .setDataCentre("dc-a")
            .setLeader("e-2")
            .setVersion(new Fence(1, 1).toValue())
            .build());
    reporter =
        new LoadReporter(
            SELF,
            recorder,
            aggregator,
            tracker,
            sentFrames,
            LoadReporterTests::ownershipMap,
            () -> leads,
            () -> nowMs);
    reporter.tick();
  }

  private static OwnershipMap ownershipMap() {
    ServiceAssignment.Builder service = ServiceAssignment.newBuilder().setService(SERVICE);
    SLICES.forEach(
        range -> service.addSlices(new SliceAssignment(range, "u-1", new Fence(1, 1)).toValue()));
    return OwnershipMap.of(
        OwnershipCheckpoint.newBuilder()
            .setDataCentre("dc-a")
            .setEpoch(1)
            .setSequence(2)
            .addServices(service)
            .build());
  }

  private static PeerFrame reportOf(PeerIdentity sender) {
    SliceLoadRecorder other = new SliceLoadRecorder(sender.vm(), sender.bootId());
    other.useLayout(SERVICE, new SliceLayout(SLICES));
    other.record(SERVICE, 0);
    return PeerFrame.newBuilder().setLoadReport(other.report()).build();
  }

  @Test
  public void loadIsReportedToTheLeaderEveryInterval() {
    recorder.record(SERVICE, 0);
    nowMs += LoadReporter.INTERVAL_MS - 1;
    reporter.tick();
    assertThat(sentFrames.frames).isEmpty();
    nowMs += 1;
    reporter.tick();
    assertThat(sentFrames.receivers).containsExactly("e-2");
    LoadReport report = sentFrames.frames.get(0).getLoadReport();
    assertThat(report.getServices(0).getRequestsList()).containsExactly(1, 0, 0, 0);
  }

  @Test
  public void leaderAggregatesItsOwnReport() {
    leads = true;
    recorder.record(SERVICE, 0);
    nowMs += LoadReporter.INTERVAL_MS;
    reporter.tick();
    assertThat(sentFrames.frames).isEmpty();
    assertThat(aggregator.rates(SERVICE)[0]).isPositive();
  }

  @Test
  public void countsOfAPausedPeriodAreDropped() {
    recorder.record(SERVICE, 0);
    nowMs += 10 * LoadReporter.INTERVAL_MS;
    reporter.tick();
    assertThat(sentFrames.frames).isEmpty();
    nowMs += LoadReporter.INTERVAL_MS;
    reporter.tick();
    assertThat(sentFrames.frames.get(0).getLoadReport().getServices(0).getRequestsList())
        .containsOnly(0);
  }

  @Test
  public void leaderAggregatesReportsOfItsDataCentreOnly() {
    leads = true;
    PeerIdentity remote = new PeerIdentity("system", "e-9", "dc-b", 9);
    assertThat(reporter.onFrame(remote, reportOf(remote))).isTrue();
    assertThat(aggregator.rates(SERVICE)).containsOnly(0);
    assertThat(reporter.onFrame(OTHER, reportOf(OTHER))).isTrue();
    assertThat(aggregator.rates(SERVICE)[0]).isPositive();
  }

  @Test
  public void reportUnderAnotherVmsNameIsIgnored() {
    leads = true;
    reporter.onFrame(OTHER, reportOf(SELF));
    assertThat(aggregator.rates(SERVICE)).containsOnly(0);
  }

  @Test
  public void vmThatDoesNotLeadIgnoresReports() {
    reporter.onFrame(OTHER, reportOf(OTHER));
    assertThat(aggregator.rates(SERVICE)).containsOnly(0);
    assertThat(reporter.onFrame(OTHER, PeerFrame.getDefaultInstance())).isFalse();
  }

  private static final class SentFrames implements PeerMessenger {
    private final List<String> receivers = new ArrayList<>();
    private final List<PeerFrame> frames = new ArrayList<>();

    @Override
    public void update(List<Member> members, Collection<String> neighbours) {}

    @Override
    public void send(String vm, PeerFrame frame) {
      receivers.add(vm);
      frames.add(frame);
    }

    @Override
    public List<String> openIn(String dataCentre) {
      return List.of();
    }
  }
}
