package org.foxtailford.testkit.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.foxtailford.testkit.scenario.ScenarioExpectation.Kind;
import org.foxtailford.testkit.scenario.ScenarioFault.Action;
import org.testng.annotations.Test;

public class ScenarioParserTests {

  private static final String HEAD = "title: t\nlength: 20s\n";

  private final ScenarioParser parser = new ScenarioParser();

  @Test
  public void statementsAreRead() {
    Scenario scenario =
        parser.parse(
            HEAD
                + "upstreams: 4 # comment\n"
                + "load: 50/s non-idempotent\n"
                + "at 5s: cut entry-0 from table, upstream-1 for 300ms\n"
                + "expect: served again within 2s of 5s\n");
    assertThat(scenario.upstreams()).isEqualTo(4);
    assertThat(scenario.loads()).containsExactly(new ScenarioLoad(50, false, true, false));
    assertThat(scenario.faults())
        .containsExactly(
            new ScenarioFault(5000, 300, Action.CUT, List.of("entry-0", "table", "upstream-1")));
    assertThat(scenario.expectations().get(0).limit()).isEqualTo(2000);
  }

  @Test
  public void unknownStatementIsNamedWithItsLineAndExamples() {
    assertThatThrownBy(() -> parser.parse(HEAD + "at 5s: explode\n"))
        .isInstanceOf(ScenarioSyntaxException.class)
        .hasMessageContaining("line 3")
        .hasMessageContaining("at 5s: lose upstream-1 for 4s");
  }

  @Test
  public void scenarioWithoutExpectationIsRejected() {
    assertThatThrownBy(() -> parser.parse(HEAD)).hasMessageContaining("nothing is expected");
  }

  @Test
  public void placesAndWhatIsExpectedOfThemAreRead() {
    Scenario scenario =
        parser.parse(
            HEAD
                + "data centres: dc-a, dc-b\n"
                + "at 5s: take out dc-b for 6s\n"
                + "at 6s: cut leader of dc-a from dc-b, table for 1s\n"
                + "expect: no new work at dc-b from 8s to 11s\n"
                + "expect: 90% answered at home in dc-a from 5s to 9s\n"
                + "expect: configuration in force within 3s of 5s\n");
    assertThat(scenario.dataCentres()).containsExactly("dc-a", "dc-b");
    assertThat(scenario.faults())
        .containsExactly(
            new ScenarioFault(5000, 6000, Action.TAKE_OUT, List.of("dc-b")),
            new ScenarioFault(6000, 1000, Action.CUT, List.of("leader of dc-a", "dc-b", "table")));
    assertThat(scenario.expectations())
        .containsExactly(
            new ScenarioExpectation(Kind.NO_NEW_WORK, "dc-b", 0, 8000, 11_000),
            new ScenarioExpectation(Kind.ANSWERED_AT_HOME, "dc-a", 90, 5000, 9000),
            new ScenarioExpectation(Kind.IN_FORCE, "", 3000, 5000, 8000));
  }

  @Test
  public void dataCentreThatIsNotDeclaredIsRejected() {
    assertThatThrownBy(
            () -> parser.parse(HEAD + "at 5s: take out dc-z for 6s\nexpect: one owner\n"))
        .hasMessageContaining("no data centre dc-z");
  }
}
