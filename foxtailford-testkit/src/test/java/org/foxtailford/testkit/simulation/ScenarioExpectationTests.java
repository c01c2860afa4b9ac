package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.poison.PoisonVerdict;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.testkit.scenario.ScenarioParser;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Breaks one rule at a time and requires the expectation of a scenario to find it. */
public class ScenarioExpectationTests {

  private static final Path FOLDER = Path.of("..", "scenarios");

  @DataProvider
  public Object[][] brokenRules() {
    return new Object[][] {
      {"data-centre-out", new FirstConfigurationKept(), "requests arrived at dc-b"},
      {"data-centre-out", new FirstConfigurationKept(), "uses configuration version 1, not 2"},
      {"data-centre-out", new SecondConfigurationReverted(), "back to 1"},
      {"data-centre-cut-from-all", new StopsWithItsLease(), "sent home to dc-b were answered"},
      {"data-centre-cut-from-platform", new StopsWithItsLease(), "sent home to dc-b were answered"},
      {"upstream-leaving", new FirstConfigurationKept(), "requests arrived at upstream-1"},
      {"pledge-sent-again", new NoClaims(), "ran twice"},
      {"pledge-sent-again", new DoubtToldAsNotRun(), "was said not to have"},
      {"poison-request", new NobodySuspected(), "requests crashed"},
      {"cold-start", new ColdStartsUnguarded(), "cold and overloaded"},
      {"configuration-race", new VersionsIgnored(), "was accepted and lost"},
      {"straggler", new LatencyUnseen(), "were answered within 150 ms"},
    };
  }

  @Test(dataProvider = "brokenRules")
  public void brokenRuleIsFound(String name, SimulationVariant variant, String finding)
      throws IOException {
    String text = Files.readString(FOLDER.resolve(name + ".scenario"));
    ScenarioResult result = new ScenarioRunner(variant).run(new ScenarioParser().parse(text));
    assertThat(result.failures()).anyMatch(failure -> failure.contains(finding));
  }

  @Test
  public void stopWithoutLeavingCutsOffRequests() throws IOException {
    String text = Files.readString(FOLDER.resolve("planned-stop-of-upstream.scenario"));
    String abrupt = text.replaceFirst("(?m)^at 5s: drain .*$", "");
    ScenarioResult result = new ScenarioRunner().run(new ScenarioParser().parse(abrupt));
    assertThat(result.failures()).anyMatch(failure -> failure.contains("an unknown outcome"));
  }

  private static final class NoClaims implements SimulationVariant {

    @Override
    public boolean claimsRequests() {
      return false;
    }
  }

  private static final class DoubtToldAsNotRun implements SimulationVariant {

    @Override
    public ResultCode onResult(ResultCode code) {
      return code.effect() == Effect.UNKNOWN ? ResultCode.UPSTREAM_UNREACHABLE : code;
    }
  }

  private static final class ColdStartsUnguarded implements SimulationVariant {

    @Override
    public boolean guardsColdStarts() {
      return false;
    }
  }

  private static final class VersionsIgnored implements SimulationVariant {

    @Override
    public TableService operatorTable(TableService table) {
      return new TableService() {

        @Override
        public CompletableFuture<Optional<TableRow>> read(String key) {
          return table.read(key);
        }

        @Override
        public CompletableFuture<WriteResult> write(String key, long version, ByteString value) {
          return read(key).thenCompose(row -> table.write(key, versionOf(row), value));
        }
      };
    }

    private static long versionOf(Optional<TableRow> row) {
      return row.map(TableRow::version).orElse(TableService.ABSENT);
    }
  }

  private static final class NobodySuspected implements SimulationVariant {

    @Override
    public PoisonVerdict onVerdict(PoisonVerdict verdict) {
      return PoisonVerdict.CLEAR;
    }
  }

  private static final class LatencyUnseen implements SimulationVariant {

    @Override
    public boolean seesLatency() {
      return false;
    }
  }

  private static final class FirstConfigurationKept implements SimulationVariant {

    @Override
    public ConfigurationView onConfiguration(ConfigurationView used, ConfigurationView next) {
      return used.version() == 0 ? next : used;
    }
  }

  private static final class SecondConfigurationReverted implements SimulationVariant {

    private ConfigurationView first = ConfigurationView.empty();

    @Override
    public ConfigurationView onConfiguration(ConfigurationView used, ConfigurationView next) {
      if (first.version() == 0) {
        first = next;
      }
      return used.version() > first.version() ? first : next;
    }
  }

  private static final class StopsWithItsLease implements SimulationVariant {

    @Override
    public OwnershipTiming timing() {
      OwnershipTiming timing = SimulationVariant.unchanged().timing();
      return new OwnershipTiming(
          timing.leaseTtlMs(),
          timing.renewIntervalMs(),
          timing.grantTtlMs(),
          timing.clockRateMarginPpm(),
          0);
    }
  }
}
