package org.foxtailford.testkit.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.testng.annotations.Test;

public class ReportPrinterTests {

  private static final ExperimentReport REPORT =
      new ExperimentReport(
          "dc-b out",
          List.of(
              new ServiceFigures(
                  "out",
                  "menu",
                  200,
                  199,
                  20.5,
                  31,
                  40,
                  OptionalDouble.of(1.25),
                  new TreeMap<>(Map.of(2002, 1L)))),
          List.of(new PhaseRetries("out", new TreeMap<>(Map.of("OWNERSHIP_CHANGED", 3L)))),
          List.of(new DataCentreWork("dc-b", OptionalLong.of(550), OptionalLong.empty())));

  @Test
  public void tableHasOneRowForEachServiceAndPhase() {
    assertThat(ReportPrinter.toText(REPORT))
        .contains("| out | menu | 200 | 99.50% | 20.5 | 31.0 | 40.0 | 1.25 | 2002: 1 |")
        .contains("out: OWNERSHIP_CHANGED: 3")
        .contains("dc-b: last answer 550 ms after the order to take it out, first never");
  }

  @Test
  public void jsonHasTheSameFigures() throws IOException {
    JsonNode json = new ObjectMapper().readTree(ReportPrinter.toJson(REPORT));
    JsonNode service = json.path("services").path(0);
    assertThat(service.path("answered").asLong()).isEqualTo(199);
    assertThat(service.path("unavailableKeySeconds").asDouble()).isEqualTo(1.25);
    assertThat(service.path("refusals").path("2002").asLong()).isEqualTo(1);
    assertThat(json.path("work").path(0).path("lastAfterOutMs").asLong()).isEqualTo(550);
    assertThat(json.path("work").path(0).has("firstAfterInMs")).isFalse();
  }
}
