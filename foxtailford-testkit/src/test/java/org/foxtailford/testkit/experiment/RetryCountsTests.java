package org.foxtailford.testkit.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public class RetryCountsTests {

  private static final String FIRST =
      "# TYPE foxtailford_retries_total counter\n"
          + "foxtailford_retries_total{reason=\"NO_SLOT\"} 2.0\n"
          + "foxtailford_retries_denied_total{reason=\"NO_SLOT\",verdict=\"BUDGET\"} 9.0\n";
  private static final String SECOND =
      "foxtailford_retries_total{reason=\"NO_SLOT\"} 3.0\n"
          + "foxtailford_retries_total{reason=\"OWNERSHIP_CHANGED\"} 1.0\n";

  @Test
  public void countersOfEveryEntryVmAddUp() {
    assertThat(RetryCounts.of(List.of(FIRST, SECOND)).byReason())
        .isEqualTo(Map.of("NO_SLOT", 5L, "OWNERSHIP_CHANGED", 1L));
  }

  @Test
  public void onlyWhatGrewCounts() {
    RetryCounts earlier = RetryCounts.of(List.of(FIRST));
    assertThat(RetryCounts.of(List.of(FIRST, SECOND)).since(earlier))
        .isEqualTo(Map.of("NO_SLOT", 3L, "OWNERSHIP_CHANGED", 1L));
    assertThat(earlier.since(earlier)).isEmpty();
  }
}
