package org.foxtailford.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.settings.DaemonSettingsReader;
import org.foxtailford.schema.DaemonSettings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The {@code foxtaild} command: runs one entry VM until the process is terminated. */
public final class FoxtaildCommand {

  /** Exit status for an invalid command line. */
  public static final int EXIT_USAGE = 64;

  /** Exit status if a listener cannot be bound. */
  public static final int EXIT_ADDRESS = 71;

  /** Exit status for a settings file that is invalid or cannot be read. */
  public static final int EXIT_SETTINGS = 78;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long STOP_GRACE_PERIOD_MS = 30_000;
  private static final String VERSION = "foxtaild 0.1.0";

  private final PrintStream out;
  private final PrintStream err;

  FoxtaildCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs the command and exits with its status unless it is zero. */
  public static void main(String[] args) {
    int status = new FoxtaildCommand(System.out, System.err).run(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  /**
   * Parses the command line and runs the requested action.
   *
   * @return the exit status; zero also if the daemon was started and keeps running
   */
  int run(String... args) {
    FoxtaildOptions options = new FoxtaildOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      return reportUsageError(parser, String.valueOf(e.getMessage()));
    }
    if (options.help()) {
      out.println("usage: foxtaild --settings FILE [--check]");
      parser.printUsage(out);
      return 0;
    }
    if (options.version()) {
      out.println(VERSION);
      return 0;
    }
    if (options.settings().isEmpty()) {
      return reportUsageError(parser, "option --settings is required");
    }
    return start(options.settings().get(), options.check());
  }

  private int reportUsageError(CmdLineParser parser, String message) {
    err.println("foxtaild: " + message);
    parser.printUsage(err);
    return EXIT_USAGE;
  }

  private int start(Path file, boolean checkOnly) {
    try {
      DaemonSettings settings = readSettings(file);
      if (checkOnly) {
        out.println(file + ": no faults");
        return 0;
      }
      EntryVm vm = new EntryVm(settings, Runtime.getRuntime().availableProcessors());
      vm.start();
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(vm), "stop"));
      return 0;
    } catch (ResultCodeException e) {
      err.println("foxtaild: " + file + ": " + e.code().number() + " " + e.code());
      err.println(e.getMessage());
      return e.code() == ResultCode.ADDRESS_IN_USE ? EXIT_ADDRESS : EXIT_SETTINGS;
    } catch (IOException e) {
      err.println("foxtaild: cannot read " + file + ": " + e.getMessage());
      return EXIT_SETTINGS;
    }
  }

  private static DaemonSettings readSettings(Path file) throws IOException {
    return new DaemonSettingsReader().read(Files.readString(file));
  }

  private static void stop(EntryVm vm) {
    vm.stop(STOP_GRACE_PERIOD_MS).join();
    logger.atInfo().log("stopped");
  }
}
