package org.foxtailford.entry.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.testng.annotations.Test;

public class EntrySettingsReaderTests {

  private static final String VALID =
      """
      {"node":"n","dataCentre":"d","processorShare":0.6,"linkMbps":100,"firstStart":false,
      "listen":{"callers":"127.0.0.1:1",
      "readiness":"127.0.0.1:2","peers":"127.0.0.1:3","metricsPort":9464},
      "seeds":["10.0.0.1:7"],"store":{"address":"10.0.0.2:8"},"bounds":{"retryRatio":0.2,
      "retrySlack":60,"retryWindow":"10s","coldRatio":1.5,"coldSlack":5,"maxHold":"10000ms",
      "drain":"2s","stop":"6s"},"later":1}""";

  private static EntrySettings read(String text) {
    return EntrySettingsReader.read(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  public void validSettingsAreParsed() {
    EntrySettings settings = read(VALID);
    assertThat(settings.bounds().retryWindowMs()).isEqualTo(10_000);
    assertThat(settings.bounds().stopMs()).isEqualTo(6000);
    assertThat(settings.bounds().drainMs()).isEqualTo(2000);
    assertThat(settings.firstStart()).isFalse();
    assertThat(settings.seeds()).hasSize(1);
  }

  @Test
  public void allFaultsAreReportedAtOnceWithTheirPaths() {
    String invalid =
        VALID
            .replace("\"127.0.0.1:2\"", "\"somewhere\"")
            .replace("0.6", "-1")
            .replace("\"10s\"", "\"soon\"")
            .replace("\"node\":\"n\",", "");
    assertThatThrownBy(() -> read(invalid))
        .isInstanceOfSatisfying(
            InvalidSettingsException.class,
            e ->
                assertThat(e.faults())
                    .extracting(fault -> fault.path())
                    .containsExactlyInAnyOrder(
                        "/node", "/processorShare", "/listen/readiness", "/bounds/retryWindow"));
  }

  @Test
  public void fileThatIsNotJsonIsRejected() {
    assertThatThrownBy(() -> read("node = 1")).isInstanceOf(InvalidSettingsException.class);
  }
}
