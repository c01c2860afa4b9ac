package org.foxtailford.benchmarks.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailford.benchmarks.command.CommandLines;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.foxtailford.daemon.EntryVm;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.ExperimentSettings;
import org.foxtailford.testkit.experiment.ExperimentReport;
import org.foxtailford.testkit.experiment.ExperimentRunner;
import org.foxtailford.testkit.experiment.ExperimentSettingsReader;
import org.foxtailford.testkit.experiment.ReportPrinter;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Runs the experiment of a file and prints what it found. */
public final class ExperimentCommand {

  private static final int EXIT_SETTINGS = 78;
  private static final int THREADS_PER_ENTRY_VM = 1;

  @Argument(metaVar = "FILE", required = true, usage = "experiment to run")
  private Path file = Path.of("");

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  private ExperimentCommand() {}

  /** Runs the command. */
  public static void main(String[] args) throws IOException {
    ExperimentCommand command = new ExperimentCommand();
    CommandLines.parse(command, args);
    try {
      command.run();
    } catch (InvalidSettingsException e) {
      System.err.println(command.file + ": " + e.getMessage());
      System.exit(EXIT_SETTINGS);
    }
    System.exit(0);
  }

  private void run() throws IOException {
    ExperimentSettings settings = new ExperimentSettingsReader().read(Files.readString(file));
    ExperimentReport report = new ExperimentRunner(settings, ExperimentCommand::launch).run();
    System.out.println(json ? ReportPrinter.toJson(report) : ReportPrinter.toText(report));
  }

  private static EntryVm launch(DaemonSettings settings) {
    EntryVm vm = new EntryVm(settings, THREADS_PER_ENTRY_VM);
    vm.start();
    return vm;
  }
}
