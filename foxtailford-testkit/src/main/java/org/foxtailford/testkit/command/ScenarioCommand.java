package org.foxtailford.testkit.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.foxtailford.testkit.scenario.Scenario;
import org.foxtailford.testkit.scenario.ScenarioParser;
import org.foxtailford.testkit.scenario.ScenarioSyntaxException;
import org.foxtailford.testkit.simulation.ScenarioResult;
import org.foxtailford.testkit.simulation.ScenarioRunner;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs scenario files, prints their traces and says whether everything expected held. */
public final class ScenarioCommand {

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 64;

  @Argument(metaVar = "FILE", required = true, usage = "scenario files")
  private List<Path> files = new ArrayList<>();

  @Option(name = "--quiet", usage = "leave out the trace")
  private boolean quiet;

  private ScenarioCommand() {}

  /** Runs the command. */
  public static void main(String[] args) throws IOException {
    System.exit(execute(System.out, System.err, args));
  }

  /** Runs the command and returns its exit code. */
  static int execute(PrintStream out, PrintStream errors, String... args) throws IOException {
    ScenarioCommand command = new ScenarioCommand();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      errors.println("scenario: " + e.getMessage());
      parser.printUsage(errors);
      return EXIT_USAGE;
    }
    return command.run(out) ? 0 : EXIT_FAILED;
  }

  private boolean run(PrintStream out) throws IOException {
    boolean held = true;
    for (Path file : files) {
      held &= run(file, out);
    }
    return held;
  }

  private boolean run(Path file, PrintStream out) throws IOException {
    Scenario scenario;
    try {
      scenario = new ScenarioParser().parse(Files.readString(file));
    } catch (ScenarioSyntaxException e) {
      out.println(file + ": " + e.getMessage());
      return false;
    }
    ScenarioResult result = new ScenarioRunner().run(scenario);
    if (!quiet) {
      result.trace().forEach(out::println);
    }
    out.println(file + ": " + scenario.title() + ": " + result.summary());
    result.failures().forEach(failure -> out.println("  FAILED: " + failure));
    return result.failures().isEmpty();
  }
}
