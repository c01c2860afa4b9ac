package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.foxtailford.testkit.scenario.Scenario;
import org.foxtailford.testkit.scenario.ScenarioParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ScenarioTests {

  private static final Path FOLDER = Path.of("..", "scenarios");
  private static final Path KNOWN_RED = Path.of("..", "KNOWN-RED.txt");
  private static final String KNOWN_RED_ENTRY = "scenario: ";
  private static final int TRACE_LINES = 60;

  private final ScenarioParser parser = new ScenarioParser();
  private final ScenarioRunner runner = new ScenarioRunner();

  @DataProvider
  public Object[][] files() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files.sorted().map(file -> new Object[] {file}).toArray(Object[][]::new);
    }
  }

  @DataProvider
  public Object[][] greenFiles() throws IOException {
    List<String> red = knownRed();
    return Stream.of(files())
        .filter(row -> !red.contains(((Path) row[0]).getFileName().toString()))
        .toArray(Object[][]::new);
  }

  @DataProvider
  public Object[][] redFiles() throws IOException {
    return knownRed().stream()
        .map(name -> new Object[] {FOLDER.resolve(name)})
        .toArray(Object[][]::new);
  }

  private static List<String> knownRed() throws IOException {
    if (!Files.exists(KNOWN_RED)) {
      return List.of();
    }
    return Files.readAllLines(KNOWN_RED).stream()
        .filter(line -> line.startsWith(KNOWN_RED_ENTRY))
        .map(line -> line.substring(KNOWN_RED_ENTRY.length()).strip())
        .toList();
  }

  /** An entry that holds again must leave the list. */
  @Test(dataProvider = "redFiles")
  public void knownRedScenarioStillFails(Path file) throws IOException {
    ScenarioResult result = runner.run(parser.parse(Files.readString(file)));
    System.out.println("KNOWN RED " + file.getFileName() + ": " + result.failures());
    assertThat(result.failures()).isNotEmpty();
  }

  @Test(dataProvider = "greenFiles")
  public void everythingExpectedHolds(Path file) throws IOException {
    Scenario scenario = parser.parse(Files.readString(file));
    ScenarioResult result = runner.run(scenario);
    assertThat(result.failures())
        .as(
            "bin/scenario %s (seed %d)%n%s%n%s",
            file.normalize(),
            scenario.seed(),
            result.summary(),
            String.join("\n", lastOf(result.trace())))
        .isEmpty();
  }

  @Test(dataProvider = "files")
  public void sameScenarioGivesTheSameTrace(Path file) throws IOException {
    Scenario scenario = parser.parse(Files.readString(file));
    assertThat(runner.run(scenario)).isEqualTo(runner.run(scenario));
  }

  private static List<String> lastOf(List<String> trace) {
    return trace.subList(Math.max(0, trace.size() - TRACE_LINES), trace.size());
  }
}
