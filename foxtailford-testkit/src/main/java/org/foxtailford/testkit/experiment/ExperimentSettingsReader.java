package org.foxtailford.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.foxtailford.core.settings.ParsedDocument;
import org.foxtailford.core.settings.SettingsFault;
import org.foxtailford.core.settings.SettingsReader;
import org.foxtailford.schema.ExperimentDataCentre;
import org.foxtailford.schema.ExperimentLoad;
import org.foxtailford.schema.ExperimentPhase;
import org.foxtailford.schema.ExperimentService;
import org.foxtailford.schema.ExperimentSettings;

/** Reads an experiment and keeps it within what one process can run in a minute. Stateless. */
public final class ExperimentSettingsReader {

  private static final int MAX_DURATION_MS = 60_000;
  private static final int MAX_REQUESTS_PER_SECOND = 3000;
  private static final int MAX_VMS = 120;
  private static final int MAX_PORT = 65_535;
  private static final int PORTS_OF_STAND_INS = 2;
  private static final int PORTS_PER_ENTRY_VM = 3;

  private final SettingsReader<ExperimentSettings> reader =
      new SettingsReader<>(ExperimentSettings::newBuilder, ResultCode.INVALID_SETTINGS);

  /**
   * Reads an experiment.
   *
   * @param text JSON with comments
   * @throws InvalidSettingsException if the settings have faults
   */
  public ExperimentSettings read(String text) {
    ParsedDocument<ExperimentSettings> read = reader.readWithLines(text);
    List<SettingsFault> faults = new ArrayList<>();
    checkSize(read, faults);
    checkOrders(read, faults);
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(ResultCode.INVALID_SETTINGS, faults);
    }
    return read.message();
  }

  private static void checkSize(
      ParsedDocument<ExperimentSettings> read, List<SettingsFault> faults) {
    ExperimentSettings settings = read.message();
    int entryVms =
        settings.getDataCentresList().stream().mapToInt(ExperimentDataCentre::getEntryVms).sum();
    int upstreams =
        settings.getServicesList().stream().mapToInt(ExperimentService::getUpstreams).sum();
    int rate =
        settings.getServicesList().stream()
            .flatMap(service -> service.getLoadList().stream())
            .mapToInt(ExperimentLoad::getRequestsPerSecond)
            .sum();
    int durationMs =
        settings.getPhasesList().stream().mapToInt(ExperimentPhase::getDurationMs).sum();
    int ports = PORTS_OF_STAND_INS + PORTS_PER_ENTRY_VM * entryVms + upstreams;
    requireAtMost(MAX_VMS, entryVms + upstreams, "$.services", "VMs", read, faults);
    requireAtMost(MAX_REQUESTS_PER_SECOND, rate, "$.services", "requests/s", read, faults);
    requireAtMost(MAX_DURATION_MS, durationMs, "$.phases", "ms", read, faults);
    requireAtMost(
        MAX_PORT, settings.getFirstPort() + ports - 1, "$.firstPort", "as last port", read, faults);
  }

  private static void requireAtMost(
      int limit,
      int value,
      String path,
      String unit,
      ParsedDocument<ExperimentSettings> read,
      List<SettingsFault> faults) {
    if (value > limit) {
      String message = "at most " + limit + " " + unit + " together, not " + value;
      faults.add(new SettingsFault(path, read.lineOf(path), message));
    }
  }

  private static void checkOrders(
      ParsedDocument<ExperimentSettings> read, List<SettingsFault> faults) {
    Set<String> known =
        read.message().getDataCentresList().stream()
            .map(ExperimentDataCentre::getName)
            .collect(Collectors.toSet());
    for (int i = 0; i < read.message().getPhasesCount(); i++) {
      ExperimentPhase phase = read.message().getPhases(i);
      String path = "$.phases[" + i + "]";
      requireKnown(phase.getTakeOut(), known, path + ".takeOut", read, faults);
      requireKnown(phase.getBringIn(), known, path + ".bringIn", read, faults);
    }
  }

  private static void requireKnown(
      String name,
      Set<String> known,
      String path,
      ParsedDocument<ExperimentSettings> read,
      List<SettingsFault> faults) {
    if (!name.isEmpty() && !known.contains(name)) {
      String message = "no data centre " + name + " in $.dataCentres";
      faults.add(new SettingsFault(path, read.lineOf(path), message));
    }
  }
}
