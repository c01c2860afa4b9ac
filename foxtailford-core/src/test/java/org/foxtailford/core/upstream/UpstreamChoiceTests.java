package org.foxtailford.core.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests the choice among unequal, failing and unresponsive upstreams, and the load estimates. */
public class UpstreamChoiceTests {

  private static final double TYPICAL_MS = 100;

  private final Map<String, UpstreamLoad> loads = new HashMap<>();
  private final List<UpstreamEntry> upstreams = new ArrayList<>();
  private UpstreamChooser chooser = newChooser();

  private static UpstreamChooser newChooser() {
    Random random = new Random(5);
    return new UpstreamChooser(random::nextDouble);
  }

  private void reset(int count) {
    loads.clear();
    upstreams.clear();
    chooser = newChooser();
    for (int i = 0; i < count; i++) {
      String id = "u" + i;
      UpstreamAddress address = new UpstreamAddress("10.0.0." + (i + 1), 80);
      upstreams.add(
          new UpstreamEntry(id, 1, "s", address, i % 2 == 0 ? "near" : "far", 4, false, 0));
      loads.put(id, new UpstreamLoad(4));
    }
  }

  private Map<String, Integer> choose(int times, double farMs, long nowMs) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < times; i++) {
      chooser
          .choose(
              upstreams,
              u -> loads.get(u.id()),
              u -> loads.get(u.id()).occupied(nowMs) + 1 <= 4,
              u -> u.dataCentre().equals("far") ? farMs : 0.0,
              TYPICAL_MS,
              nowMs)
          .ifPresent(u -> counts.merge(u.id(), 1, Integer::sum));
    }
    return counts;
  }

  @Test
  public void equalUpstreamsShareTheRequests() {
    reset(4);
    assertThat(choose(400, 0, 0).values()).allSatisfy(n -> assertThat(n).isGreaterThan(60));
  }

  @Test
  public void fullAndSlowUpstreamsAreNotChosen() {
    reset(3);
    loads.get("u0").recordReport(new LoadReport(4, 0, 4, 1), 0);
    loads.get("u1").recordReport(new LoadReport(0, 0, 4, 3), 0);
    assertThat(choose(100, 0, 10)).containsOnlyKeys("u2");
  }

  @Test
  public void fastUpstreamThatFailsPartOfItsRequestsIsAvoidedUntilTheFailureRateDecays() {
    reset(2);
    UpstreamLoad failing = loads.get("u0");
    Random random = new Random(1);
    for (int i = 0; i < 60; i++) {
      if (random.nextDouble() < 0.45) {
        failing.recordErrorResponse(i);
      } else {
        failing.recordSuccess(20, true);
      }
      loads.get("u1").recordSuccess(TYPICAL_MS, true);
    }
    assertThat(choose(100, 0, 60).getOrDefault("u0", 0)).isLessThan(10);
    assertThat(choose(100, 0, 60_000).getOrDefault("u0", 0)).isGreaterThan(50);
  }

  @Test
  public void unresponsiveUpstreamIsExpectedToTakeLonger() {
    reset(2);
    loads.get("u0").recordSend(0);
    assertThat(choose(100, 0, 1500)).containsOnlyKeys("u1");
  }

  @Test
  public void unreachableUpstreamIsSuspended() {
    reset(2);
    loads.get("u0").recordUnreachable(0);
    assertThat(choose(50, 0, UpstreamLoad.INITIAL_SUSPENSION_MS - 1)).containsOnlyKeys("u1");
    assertThat(loads.get("u0").isSuspended(UpstreamLoad.INITIAL_SUSPENSION_MS)).isFalse();
  }

  @Test
  public void farUpstreamsAreUsedOnlyWhenNearOnesAreFull() {
    reset(2);
    assertThat(choose(100, 200, 0)).containsOnlyKeys("u0");
    loads.get("u0").recordReport(new LoadReport(4, 2, 4, 1), 0);
    assertThat(choose(100, 200, 1)).containsOnlyKeys("u1");
  }

  @Test
  public void weightOfReportsDecays() {
    UpstreamLoad load = new UpstreamLoad(4);
    load.recordReport(new LoadReport(3, 1, 4, 1), 0);
    assertThat(load.occupied(0)).isEqualTo(4);
    assertThat(load.occupied(UpstreamLoad.REPORT_DECAY_MS)).isEqualTo(0);
  }

  @Test
  public void speedEstimateNeedsSeveralAnswers() {
    UpstreamSpeedEstimator estimator = new UpstreamSpeedEstimator();
    estimator.add("fast", 100, 7_000, 0);
    estimator.add("slow", 100, 16_000, 0);
    estimator.add("new", 1, 500, 0);
    assertThat(estimator.speed("fast", 0)).isGreaterThan(1.4);
    assertThat(estimator.speed("slow", 0)).isLessThan(0.8);
    assertThat(estimator.speed("new", 0)).isBetween(0.6, 1.1);
    assertThat(estimator.speed("unknown", 0)).isEqualTo(1);
  }

  /** A full upstream has no answer that did not wait, so that only its reports show its speed. */
  @Test
  public void reportsShowTheSpeedOfAnUpstreamThatIsAlwaysFull() {
    UpstreamSpeedEstimator estimator = new UpstreamSpeedEstimator();
    for (int i = 0; i < 10; i++) {
      estimator.add("fast" + i, 20, 20 * 200, 0);
      estimator.addSlowness("fast" + i, 20, 20 * 0.7, 0);
    }
    estimator.addSlowness("full", 5, 5 * 1.6, 0);
    assertThat(estimator.speed("full", 0)).isLessThan(0.6);
    assertThat(estimator.speed("fast1", 0)).isGreaterThan(0.95);
  }

  @Test
  public void serviceTimesShowASlownessThatIsNotReported() {
    UpstreamSpeedEstimator estimator = new UpstreamSpeedEstimator();
    for (int i = 0; i < 10; i++) {
      estimator.add("u" + i, 20, 20 * 200, 0);
      estimator.addSlowness("u" + i, 20, 20, 0);
    }
    estimator.add("slow", 20, 20 * 800, 0);
    estimator.addSlowness("slow", 20, 20, 0);
    assertThat(estimator.speed("slow", 0)).isLessThan(0.5);
  }

  @Test
  public void speedEstimateReturnsToTheAverageWithoutAnswers() {
    UpstreamSpeedEstimator estimator = new UpstreamSpeedEstimator();
    estimator.add("slow", 40, 16_000, 0);
    estimator.add("fast", 400, 40_000, 0);
    assertThat(estimator.speed("slow", 0)).isLessThan(0.5);
    assertThat(estimator.speed("slow", 200_000)).isGreaterThan(0.95);
  }

  @Test
  public void pauseOutlastsAnswersToEarlierRequestsAndIsBounded() {
    UpstreamLoad load = new UpstreamLoad(4);
    load.recordPause(500, 1000);
    load.recordSuccess(20, true);
    assertThat(load.isSuspended(1499)).isTrue();
    assertThat(load.isSuspended(1500)).isFalse();
    load.recordPause(3_600_000, 2000);
    assertThat(load.suspendedUntilMs()).isEqualTo(2000 + UpstreamLoad.MAX_PAUSE_MS);
  }
}
