package org.foxtailford.testkit.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.ExperimentSettings;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.StandInUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ExperimentSettingsTests {

  private static final Path EXPERIMENTS = Path.of("..", "experiments");
  private static final String SMALL =
      "{\"title\": \"small\","
          + "\"dataCentres\": [{\"name\": \"a\", \"entryVms\": 2},"
          + "{\"name\": \"b\", \"entryVms\": 1}],"
          + "\"services\": [{\"name\": \"menu\", \"keys\": 5, \"upstreams\": 3, \"slots\": 6,"
          + "\"load\": [{\"kind\": \"plan\", \"requestsPerSecond\": RATE}]}],"
          + "\"phases\": [{\"name\": \"before\", \"durationMs\": 2000},"
          + "{\"name\": \"leaving\", \"durationMs\": DURATION, \"takeOut\": \"OUT\"}]}";

  private final ExperimentSettingsReader reader = new ExperimentSettingsReader();

  private static String small(int rate, int durationMs, String out) {
    return SMALL
        .replace("RATE", Integer.toString(rate))
        .replace("DURATION", Integer.toString(durationMs))
        .replace("OUT", out);
  }

  @DataProvider
  public Object[][] files() throws IOException {
    try (Stream<Path> files = Files.list(EXPERIMENTS)) {
      return files.sorted().map(file -> new Object[] {file}).toArray(Object[][]::new);
    }
  }

  @Test(dataProvider = "files")
  public void everyExperimentOfTheProjectIsValid(Path file) throws IOException {
    assertThat(reader.read(Files.readString(file)).getTitle()).isNotEmpty();
  }

  @Test
  public void loadAboveTheLimitIsRefused() {
    String text =
        small(3000, 1000, "b")
            .replace("\"load\": [", "\"load\": [{\"kind\": \"lookup\", \"requestsPerSecond\": 1},");
    assertThatThrownBy(() -> reader.read(text))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("at most 3000 requests/s");
  }

  @Test
  public void moreThanOneMinuteIsRefused() {
    assertThatThrownBy(() -> reader.read(small(1, 60_000, "b")))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("at most 60000 ms together, not 62000");
  }

  @Test
  public void orderForAnUnknownDataCentreIsRefused() {
    assertThatThrownBy(() -> reader.read(small(1, 1000, "c")))
        .isInstanceOf(InvalidSettingsException.class)
        .hasMessageContaining("$.phases[1].takeOut");
  }

  @Test
  public void everyProcessListensAtItsOwnPort() {
    ExperimentFleet fleet = new ExperimentFleet(reader.read(small(1, 1000, "b")));
    Stream<Integer> entryPorts =
        fleet.entryVms().stream()
            .flatMap(
                vm ->
                    Stream.of(
                        vm.getCallerListener().getPort(),
                        vm.getPeerListener().getPort(),
                        vm.getOperatorListener().getPort()));
    Stream<Integer> upstreamPorts =
        fleet.standIns().getUpstreamsList().stream().map(u -> u.getAddress().getPort());
    List<Integer> ports = Stream.concat(entryPorts, upstreamPorts).toList();
    assertThat(ports).hasSize(12).doesNotHaveDuplicates();
  }

  @Test
  public void upstreamsAreSpreadOverDataCentres() {
    ExperimentFleet fleet = new ExperimentFleet(reader.read(small(1, 1000, "b")));
    assertThat(fleet.standIns().getUpstreamsList())
        .extracting(StandInUpstream::getDataCentre)
        .containsExactly("a", "b", "a");
    assertThat(fleet.upstreamsIn("b")).containsExactly("menu-2");
    assertThat(fleet.entryVms())
        .extracting(DaemonSettings::getDataCentre)
        .containsExactly("a", "a", "b");
  }

  @Test
  public void configurationNamesTheDataCentresThatAreOut() {
    ExperimentFleet fleet = new ExperimentFleet(reader.read(small(1, 1000, "b")));
    assertThat(fleet.configuration(Set.of()).getDataCentresList()).isEmpty();
    assertThat(fleet.configuration(Set.of("b")).getDataCentresList())
        .containsExactly(LabelledDataCentre.newBuilder().setName("b").setOut(true).build());
    assertThat(fleet.configuration(Set.of()).getServices(0).getKeyed()).isTrue();
  }

  @Test
  public void sameSeedGivesTheSameArrivals() {
    ExperimentSettings settings = reader.read(small(100, 1000, "b"));
    List<Arrival> arrivals = LoadSchedule.of(settings);
    assertThat(arrivals).isEqualTo(LoadSchedule.of(settings));
    assertThat(arrivals).isSortedAccordingTo((a, b) -> Long.compare(a.dueMicros(), b.dueMicros()));
    assertThat(LoadSchedule.of(settings.toBuilder().setSeed(2).build())).isNotEqualTo(arrivals);
  }

  @Test
  public void arrivalsKeepTheirMeanRate() {
    ExperimentSettings settings = reader.read(small(1000, 10_000, "b"));
    assertThat(LoadSchedule.of(settings)).hasSizeBetween(11_500, 12_500);
  }
}
