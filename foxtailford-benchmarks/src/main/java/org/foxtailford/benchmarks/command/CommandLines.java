package org.foxtailford.benchmarks.command;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Command lines of measuring commands. */
public final class CommandLines {

  private static final int EXIT_USAGE = 2;

  private CommandLines() {}

  /** Sets the options of a command; on a wrong command line, prints the usage and exits. */
  public static void parse(Object command, String[] args) {
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
  }
}
