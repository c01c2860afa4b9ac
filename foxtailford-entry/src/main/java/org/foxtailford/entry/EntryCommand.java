package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Level;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.settings.InvalidSettingsException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.log.JsonLog;
import org.foxtailford.entry.log.LineWriter;
import org.foxtailford.entry.settings.EntrySettings;
import org.foxtailford.entry.settings.EntrySettingsReader;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The {@code foxtailford-entry} command: runs an entry VM until SIGTERM; SIGHUP reloads the
 * settings.
 */
public final class EntryCommand {

  /** Exit status for an invalid command line. */
  public static final int EXIT_USAGE = 64;

  /** Exit status for a listener address that can't be bound. */
  public static final int EXIT_ADDRESS = 71;

  /** Exit status for settings that are invalid or can't be read. */
  public static final int EXIT_SETTINGS = 78;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final String NAME = "foxtailford-entry";

  /** Time that a stop waits for a reader of standard output that is stuck, in milliseconds. */
  private static final long MAX_DRAIN_MS = 500;

  private final PrintStream out;
  private final PrintStream err;

  EntryCommand(PrintStream out, PrintStream err) {
    this.out = Assert.notNull(out, "out");
    this.err = Assert.notNull(err, "err");
  }

  /** Runs the command and exits with its status if that is not 0. */
  public static void main(String[] args) {
    System.setProperty("io.netty.machineId", "02:00:00:ff:fe:00:00:01"); // no interface has one
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE); // no auto-detection
    Signal.handle(new Signal("HUP"), SignalHandler.SIG_IGN); // until the file has been read
    int status = new EntryCommand(System.out, System.err).run(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  /** Runs the command and returns its exit status; 0 also if the entry VM keeps running. */
  int run(String... args) {
    EntryOptions options = new EntryOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      return usage(parser, String.valueOf(e.getMessage()));
    }
    if (options.help()) {
      out.println("usage: " + NAME + " --settings FILE [--check]");
      parser.printUsage(out);
      return 0;
    }
    if (options.rehearsal().isPresent()) {
      return rehearse(options.rehearsal().get());
    }
    if (options.settings().isEmpty()) {
      return usage(parser, "option --settings is required");
    }
    return start(options.settings().get(), options.check());
  }

  private int usage(CmdLineParser parser, String message) {
    err.println(NAME + ": " + message);
    parser.printUsage(err);
    return EXIT_USAGE;
  }

  private int rehearse(Path file) {
    JsonLog.configure("rehearsal", Level.INFO);
    new LineWriter(JsonLog.lines(), out).start();
    try {
      new EntryRehearsal(file).run();
      return 0;
    } catch (IOException e) {
      err.println(NAME + ": can't run the rehearsal script " + file + ": " + e.getMessage());
      return EXIT_SETTINGS;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_SETTINGS;
    }
  }

  private int start(Path file, boolean checkOnly) {
    try {
      byte[] content = Files.readAllBytes(file);
      EntrySettings settings = EntrySettingsReader.read(content);
      if (checkOnly) {
        out.println(file + ": no faults");
        return 0;
      }
      run(file, content, settings);
      return 0;
    } catch (InvalidSettingsException e) {
      err.println(NAME + ": " + file + " has faults:");
      e.faults().forEach(fault -> err.println(fault.path() + ": " + fault.message()));
      return EXIT_SETTINGS;
    } catch (ResultCodeException e) {
      err.println(NAME + ": " + e.getMessage());
      return EXIT_ADDRESS;
    } catch (IOException e) {
      err.println(NAME + ": can't read " + file + ": " + e.getMessage());
      return EXIT_SETTINGS;
    }
  }

  private static void run(Path file, byte[] content, EntrySettings settings) {
    JsonLog.configure(settings.node(), Level.INFO);
    LineWriter writer = new LineWriter(JsonLog.lines(), new FileOutputStream(FileDescriptor.out));
    writer.start();
    EntryVm vm = new EntryVm(settings);
    vm.start();
    SettingsWatcher watcher = new SettingsWatcher(file, content, vm::reload);
    watcher.start();
    Signal.handle(new Signal("HUP"), signal -> watcher.reload("signal"));
    Signal.handle(new Signal("TERM"), signal -> vm.stop().thenRun(() -> shutDown(vm, writer)));
  }

  private static void shutDown(EntryVm vm, LineWriter writer) {
    vm.close();
    if (!writer.tryDrain(MAX_DRAIN_MS)) {
      System.err.println(NAME + ": failed to write the last log lines");
    }
    Runtime.getRuntime().halt(0);
  }
}
