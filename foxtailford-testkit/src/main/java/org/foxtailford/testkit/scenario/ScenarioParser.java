package org.foxtailford.testkit.scenario;

import java.util.List;
import java.util.regex.Matcher;
import org.foxtailford.core.util.Assert;

/** Reads the scenario language, one statement a line. docs/SCENARIOS.md describes it. */
public final class ScenarioParser {

  /**
   * Reads a scenario.
   *
   * @param text content of its file
   * @throws ScenarioSyntaxException if a line is not a statement or something is missing
   */
  public Scenario parse(String text) {
    Assert.notNull(text, "text");
    ScenarioReading reading = new ScenarioReading();
    List<String> lines = text.lines().toList();
    for (int i = 0; i < lines.size(); i++) {
      String statement = lines.get(i).replaceFirst("#.*", "").strip();
      if (!statement.isEmpty()) {
        enter(reading, statement, i + 1);
      }
    }
    require(!reading.title().isEmpty(), lines.size(), "title is missing");
    require(reading.lengthMs() > 0, lines.size(), "length is missing");
    require(!reading.expectsNothing(), lines.size(), "nothing is expected");
    requireKnownDataCentres(reading, lines.size());
    return reading.build();
  }

  private static void enter(ScenarioReading reading, String statement, int line) {
    for (ScenarioForms.Form form : ScenarioForms.ALL) {
      Matcher words = form.pattern().matcher(statement);
      if (words.matches()) {
        form.entry().enter(reading, words);
        return;
      }
    }
    String first = statement.split("[ :]", 2)[0];
    List<String> examples =
        ScenarioForms.ALL.stream()
            .map(ScenarioForms.Form::example)
            .filter(e -> e.startsWith(first))
            .toList();
    String hint = examples.isEmpty() ? "" : "; examples: " + String.join(" | ", examples);
    throw new ScenarioSyntaxException(line, "not a statement: \"" + statement + "\"" + hint);
  }

  private static void requireKnownDataCentres(ScenarioReading reading, int line) {
    reading
        .namedDataCentres()
        .forEach(name -> require(reading.hasDataCentre(name), line, "no data centre " + name));
  }

  private static void require(boolean condition, int line, String message) {
    if (!condition) {
      throw new ScenarioSyntaxException(line, message);
    }
  }
}
