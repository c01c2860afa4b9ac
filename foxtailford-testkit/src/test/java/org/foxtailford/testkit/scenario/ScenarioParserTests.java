package org.foxtailford.testkit.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
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
    assertThat(scenario.loads()).containsExactly(new ScenarioLoad(50, false));
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
}
