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
  private SliceLoadAggregator book;

  @BeforeMethod
  public void createBook() {
    nowMs = 0;
    book = new SliceLoadAggregator(() -> nowMs, HALF_LIFE_MS);
    book.useLayout(SERVICE, LAYOUT);
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
  public void addsUpWhatAllEntryVmsSee() {
    SliceLoadRecorder first = recorder("entry-a1");
    SliceLoadRecorder second = recorder("entry-a2");
    for (int i = 0; i < 60; i++) {
      record(first, 0, 100);
      record(second, 0, 200);
      nowMs += 1000;
      book.accept(first.report());
      book.accept(second.report());
    }
    assertThat(book.rates(SERVICE)[0]).isCloseTo(300, within(300 * 0.08));
    assertThat(book.rates(SERVICE)[1]).isZero();
  }

  @Test
  public void countsARepeatedReportOnce() {
    SliceLoadRecorder recorder = recorder("entry-a1");
    record(recorder, 0, 100);
    var report = recorder.report();
    assertThat(book.accept(report)).isTrue();
    double once = book.rates(SERVICE)[0];
    assertThat(book.accept(report)).isFalse();
    assertThat(book.rates(SERVICE)[0]).isEqualTo(once).isPositive();
  }

  @Test
  public void countsAReportUnderAnEarlierLayout() {
    SliceLoadRecorder recorder = recorder("entry-a1");
    record(recorder, 0, 100);
    SliceRange first = LAYOUT.ranges().get(0);
    book.useLayout(SERVICE, LAYOUT.apply(List.of(), List.of(SliceSplit.isolate(first, 0))));
    assertThat(book.accept(recorder.report())).isTrue();
    double[] rates = book.rates(SERVICE);
    assertThat(rates).hasSize(5);
    assertThat(rates[0]).isPositive();
    assertThat(rates[1]).isZero();
  }

  @Test
  public void dropsCountsUnderAnUnknownLayout() {
    SliceLoadRecorder recorder = new SliceLoadRecorder("entry-a1", 1);
    recorder.useLayout(SERVICE, new SliceLayout(SliceRange.divide(3)));
    record(recorder, 0, 100);
    book.accept(recorder.report());
    assertThat(book.rates(SERVICE)).containsOnly(0);
  }

  @Test
  public void reportsTheHotKeys() {
    SliceLoadRecorder recorder = recorder("entry-a1");
    record(recorder, 42, 500);
    book.accept(recorder.report());
    nowMs += HALF_LIFE_MS;
    assertThat(book.hotKeys(SERVICE)).containsExactly(new KeyLoad(42, 100));
  }

  @Test
  public void countsReportsUnderRememberedSlices() {
    SliceLayout published = new SliceLayout(LAYOUT.ranges().subList(0, 3));
    book.rememberLayout(SERVICE, published);
    SliceLoadRecorder recorder = new SliceLoadRecorder("entry-a1", 1);
    recorder.useLayout(SERVICE, published);
    record(recorder, 0, 100);
    assertThat(book.accept(recorder.report())).isTrue();
    assertThat(book.rates(SERVICE)).hasSize(4);
    assertThat(book.rates(SERVICE)[0]).isPositive();
  }

  @Test
  public void countsOneOfTheReportsThatArriveAtOnce() {
    SliceLoadRecorder recorder = recorder("entry-a1");
    record(recorder, 0, 100);
    assertThat(book.accept(recorder.report())).isTrue();
    record(recorder, 0, 100);
    assertThat(book.accept(recorder.report())).isFalse();
    nowMs += 1000;
    assertThat(book.accept(recorder.report())).isTrue();
  }

  @Test
  public void dropsAReportOfManyTimesWhatOthersSent() {
    for (String vm : List.of("entry-a1", "entry-a2", "entry-a3")) {
      SliceLoadRecorder recorder = recorder(vm);
      record(recorder, 0, 100);
      book.accept(recorder.report());
    }
    double before = book.rates(SERVICE)[0];
    SliceLoadRecorder broken = recorder("entry-a4");
    record(broken, 0, 20_000);
    assertThat(book.accept(broken.report())).isFalse();
    assertThat(book.rates(SERVICE)[0]).isEqualTo(before);
  }

  @Test
  public void countsASurgeThatAllSee() {
    List<SliceLoadRecorder> recorders =
        List.of(recorder("entry-a1"), recorder("entry-a2"), recorder("entry-a3"), recorder("a4"));
    recorders.forEach(recorder -> book.accept(recorder.report()));
    for (int i = 0; i < 2; i++) {
      nowMs += 2000;
      for (SliceLoadRecorder recorder : recorders) {
        record(recorder, 0, 20_000);
        book.accept(recorder.report());
      }
    }
    assertThat(book.rates(SERVICE)[0]).isGreaterThan(4 * 20_000 / 10.0);
  }
}
