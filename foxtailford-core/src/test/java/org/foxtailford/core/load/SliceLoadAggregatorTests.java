package org.foxtailford.core.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.placement.SliceSplit;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.slice.SliceRange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SliceLoadAggregatorTests {

  private static final String SERVICE = "menu-planning";
  private static final long HALF_LIFE_MS = 5000;
  private static final SliceLayout LAYOUT = new SliceLayout(SliceRange.divide(4));

  private long nowMs;
  private SliceLoadAggregator aggregator;

  @BeforeMethod
  public void createAggregator() {
    nowMs = 0;
    aggregator = new SliceLoadAggregator(() -> nowMs, HALF_LIFE_MS);
    aggregator.useLayout(SERVICE, LAYOUT);
  }

  private static SliceLoadRecorder recorder(String vm) {
    SliceLoadRecorder recorder = new SliceLoadRecorder(vm, 1);
    recorder.useLayout(SERVICE, LAYOUT);
    return recorder;
  }

  private static void record(SliceLoadRecorder recorder, long keyHash, int requests) {
    for (int i = 0; i < requests; i++) {
      recorder.record(SERVICE, keyHash);
    }
  }

  @Test
  public void addsUpReportsOfAllEntryVms() {
    SliceLoadRecorder first = recorder("entry-a1");
    SliceLoadRecorder second = recorder("entry-a2");
    for (int i = 0; i < 60; i++) {
      record(first, 0, 100);
      record(second, 0, 200);
      nowMs += 1000;
      aggregator.accept(first.report());
      aggregator.accept(second.report());
    }
    assertThat(aggregator.rates(SERVICE)[0]).isCloseTo(300, within(300 * 0.08));
    assertThat(aggregator.rates(SERVICE)[1]).isZero();
  }

  @Test
  public void countsDuplicateReportOnce() {
    SliceLoadRecorder recorder = recorder("entry-a1");
    record(recorder, 0, 100);
    var report = recorder.report();
    assertThat(aggregator.accept(report)).isTrue();
    double rateAfterFirst = aggregator.rates(SERVICE)[0];
    assertThat(aggregator.accept(report)).isFalse();
    assertThat(aggregator.rates(SERVICE)[0]).isEqualTo(rateAfterFirst).isPositive();
  }

  @Test
  public void countsReportForEarlierLayout() {
    SliceLoadRecorder recorder = recorder("entry-a1");
    record(recorder, 0, 100);
    SliceRange first = LAYOUT.ranges().get(0);
    aggregator.useLayout(SERVICE, LAYOUT.apply(List.of(), List.of(SliceSplit.isolate(first, 0))));
    assertThat(aggregator.accept(recorder.report())).isTrue();
    double[] rates = aggregator.rates(SERVICE);
    assertThat(rates).hasSize(5);
    assertThat(rates[0]).isPositive();
    assertThat(rates[1]).isZero();
  }

  @Test
  public void dropsCountsForUnknownLayout() {
    SliceLoadRecorder recorder = new SliceLoadRecorder("entry-a1", 1);
    recorder.useLayout(SERVICE, new SliceLayout(SliceRange.divide(3)));
    record(recorder, 0, 100);
    aggregator.accept(recorder.report());
    assertThat(aggregator.rates(SERVICE)).containsOnly(0);
  }

  @Test
  public void returnsHotKeys() {
    SliceLoadRecorder recorder = recorder("entry-a1");
    record(recorder, 42, 500);
    aggregator.accept(recorder.report());
    nowMs += HALF_LIFE_MS;
    assertThat(aggregator.hotKeys(SERVICE)).containsExactly(new KeyLoad(42, 100));
  }

  @Test
  public void countsReportsForRememberedLayout() {
    SliceLayout published = new SliceLayout(LAYOUT.ranges().subList(0, 3));
    aggregator.rememberLayout(SERVICE, published);
    SliceLoadRecorder recorder = new SliceLoadRecorder("entry-a1", 1);
    recorder.useLayout(SERVICE, published);
    record(recorder, 0, 100);
    assertThat(aggregator.accept(recorder.report())).isTrue();
    assertThat(aggregator.rates(SERVICE)).hasSize(4);
    assertThat(aggregator.rates(SERVICE)[0]).isPositive();
  }

  @Test
  public void countsOnlyFirstOfReportsThatArriveTogether() {
    SliceLoadRecorder recorder = recorder("entry-a1");
    record(recorder, 0, 100);
    assertThat(aggregator.accept(recorder.report())).isTrue();
    record(recorder, 0, 100);
    assertThat(aggregator.accept(recorder.report())).isFalse();
    nowMs += 1000;
    assertThat(aggregator.accept(recorder.report())).isTrue();
  }

  @Test
  public void dropsReportOfManyTimesTheRequestsOfOthers() {
    for (String vm : List.of("entry-a1", "entry-a2", "entry-a3")) {
      SliceLoadRecorder recorder = recorder(vm);
      record(recorder, 0, 100);
      aggregator.accept(recorder.report());
    }
    double before = aggregator.rates(SERVICE)[0];
    SliceLoadRecorder implausible = recorder("entry-a4");
    record(implausible, 0, 20_000);
    assertThat(aggregator.accept(implausible.report())).isFalse();
    assertThat(aggregator.rates(SERVICE)[0]).isEqualTo(before);
  }

  @Test
  public void countsSurgeReportedByAllEntryVms() {
    List<SliceLoadRecorder> recorders =
        List.of(recorder("entry-a1"), recorder("entry-a2"), recorder("entry-a3"), recorder("a4"));
    recorders.forEach(recorder -> aggregator.accept(recorder.report()));
    for (int i = 0; i < 2; i++) {
      nowMs += 2000;
      for (SliceLoadRecorder recorder : recorders) {
        record(recorder, 0, 20_000);
        aggregator.accept(recorder.report());
      }
    }
    assertThat(aggregator.rates(SERVICE)[0]).isGreaterThan(4 * 20_000 / 10.0);
  }
}
