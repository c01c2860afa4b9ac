package org.foxtailford.testkit.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.load.SliceLoadRecorder;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.placement.LoadAwarePolicy;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.LoadReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LeaderLoadTests {

  private static final String SERVICE = LoadedDataCentre.SERVICE;
  private static final int STEADY_S = 30;
  private static final int REPORT_INTERVAL_S = 2;
  private static final int EVEN_REQUESTS = 480;

  private LoadedDataCentre dataCentre;
  private int movesBefore;

  @BeforeMethod
  public void startDataCentre() {
    dataCentre = new LoadedDataCentre(new LoadAwarePolicy(), 3, 4);
    dataCentre.runSeconds(STEADY_S);
    movesBefore = dataCentre.moves();
  }

  private SliceLayout layout() {
    return new SliceLayout(
        dataCentre.owners().slices(SERVICE).stream().map(SliceAssignment::range).toList());
  }

  private SliceRange firstSliceOf(String upstream) {
    return dataCentre.slicesOf(upstream).get(0);
  }

  /** Makes reports of another entry VM that sends everything to one slice. */
  private List<LoadReport> skewedReports(SliceLayout layout, int reports, int requests) {
    SliceLoadRecorder recorder = new SliceLoadRecorder("e-late", 1);
    recorder.useLayout(SERVICE, layout);
    long hash = firstSliceOf("u-0").first();
    List<LoadReport> made = new ArrayList<>();
    for (int i = 0; i < reports; i++) {
      for (int j = 0; j < requests; j++) {
        recorder.record(SERVICE, hash);
      }
      made.add(recorder.report());
    }
    return made;
  }

  @Test
  public void loadThatEntryVmsReportMovesSlices() {
    dataCentre.slicesOf("u-0").forEach(range -> dataCentre.setRequests(range.first(), 80));
    assertThat(dataCentre.imbalance()).isGreaterThan(1.9);
    dataCentre.runSeconds(STEADY_S);
    assertThat(dataCentre.moves()).isGreaterThan(movesBefore);
    assertThat(dataCentre.imbalance()).isLessThan(1.2);
  }

  @Test
  public void evenLoadMovesNothing() {
    dataCentre.runSeconds(STEADY_S);
    assertThat(dataCentre.moves()).isEqualTo(movesBefore);
  }

  @Test
  public void reportsThatASlowLinkDeliversAtOnceMoveNothing() {
    skewedReports(layout(), 20, EVEN_REQUESTS).forEach(dataCentre.book()::accept);
    dataCentre.runSeconds(STEADY_S);
    assertThat(dataCentre.moves()).isEqualTo(movesBefore);
  }

  @Test
  public void aRepeatedReportMovesNothing() {
    LoadReport report = skewedReports(layout(), 1, EVEN_REQUESTS).get(0);
    for (int i = 0; i < STEADY_S; i++) {
      dataCentre.book().accept(report);
      dataCentre.runSeconds(1);
    }
    assertThat(dataCentre.moves()).isEqualTo(movesBefore);
  }

  @Test
  public void reportsOfManyTimesWhatOthersSendMoveNothing() {
    for (LoadReport report : skewedReports(layout(), 10, 50 * EVEN_REQUESTS)) {
      dataCentre.book().accept(report);
      dataCentre.runSeconds(REPORT_INTERVAL_S);
    }
    assertThat(dataCentre.moves()).isEqualTo(movesBefore);
  }

  @Test
  public void reportsUnderSlicesThatNobodyPublishedMoveNothing() {
    SliceLayout unknown = new SliceLayout(SliceRange.divide(7));
    for (LoadReport report : skewedReports(unknown, 10, 5 * EVEN_REQUESTS)) {
      dataCentre.book().accept(report);
      dataCentre.runSeconds(REPORT_INTERVAL_S);
    }
    assertThat(dataCentre.moves()).isEqualTo(movesBefore);
  }

  @Test
  public void negativeCountsMoveNothing() {
    SliceLayout layout = layout();
    for (LoadReport report : skewedReports(layout, 10, 1)) {
      LoadReport.Builder negative = report.toBuilder();
      negative.getServicesBuilder(0).setRequests(layout.size() - 1, Integer.MIN_VALUE);
      dataCentre.book().accept(negative.build());
      dataCentre.runSeconds(REPORT_INTERVAL_S);
    }
    assertThat(dataCentre.moves()).isEqualTo(movesBefore);
  }

  @Test
  public void aReturnedUpstreamReceivesLoad() {
    assertReturnedUpstreamIsFilled(dataCentre);
    assertThat(dataCentre.imbalance()).isLessThan(1.2);
  }

  @Test
  public void aReturnedUpstreamReceivesSlicesThoughNobodyReports() {
    LoadedDataCentre silent = new LoadedDataCentre(new LoadAwarePolicy(), 3, 0);
    silent.runSeconds(STEADY_S);
    assertReturnedUpstreamIsFilled(silent);
  }

  private static void assertReturnedUpstreamIsFilled(LoadedDataCentre dataCentre) {
    dataCentre.setAbsent("u-0", true);
    dataCentre.runSeconds(STEADY_S);
    assertThat(dataCentre.slicesOf("u-0")).isEmpty();
    dataCentre.setAbsent("u-0", false);
    dataCentre.runSeconds(STEADY_S);
    assertThat(dataCentre.slicesOf("u-0")).hasSizeGreaterThanOrEqualTo(4);
  }
}
