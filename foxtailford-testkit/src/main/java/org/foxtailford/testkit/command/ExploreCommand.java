package org.foxtailford.testkit.command;

import java.io.PrintStream;
import java.util.stream.LongStream;
import org.foxtailford.testkit.simulation.OwnershipExplorer;
import org.foxtailford.testkit.simulation.RecoveryMeasurement;
import org.foxtailford.testkit.simulation.ScheduleResult;
import org.foxtailford.testkit.simulation.SimulationVariant;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Explores random schedules of faults and prints the seed and trace of each failure. */
public final class ExploreCommand {

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 64;

  @Option(name = "--schedules", metaVar = "COUNT", usage = "schedules to run")
  private long schedules = 100_000;

  @Option(name = "--seed", metaVar = "SEED", usage = "seed of the first schedule")
  private long seed = 1;

  @Option(name = "--threads", metaVar = "COUNT", usage = "schedules that run at once")
  private int threads = 1;

  @Option(name = "--recovery", usage = "measure the times to serve again instead")
  private boolean recovery;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help and exit")
  private boolean help;

  private ExploreCommand() {}

  /** Runs the command and exits with 1 if a schedule failed. */
  public static void main(String[] args) {
    ExploreCommand command = new ExploreCommand();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
    if (command.help) {
      parser.printUsage(System.out);
      return;
    }
    if (command.recovery) {
      command.measureRecovery(System.out);
      return;
    }
    System.exit(command.run(System.out) == 0 ? 0 : EXIT_FAILED);
  }

  private long run(PrintStream out) {
    OwnershipExplorer explorer = new OwnershipExplorer(SimulationVariant.unchanged());
    System.setProperty(
        "java.util.concurrent.ForkJoinPool.common.parallelism", String.valueOf(threads));
    LongStream seeds = LongStream.range(seed, seed + schedules);
    long failed =
        (threads > 1 ? seeds.parallel() : seeds)
            .filter(s -> !explorer.run(s, false).passed())
            .peek(s -> print(out, explorer.run(s, true)))
            .count();
    out.printf("%d schedules from seed %d: %d failed%n", schedules, seed, failed);
    return failed;
  }

  private void measureRecovery(PrintStream out) {
    RecoveryMeasurement measurement = new RecoveryMeasurement(SimulationVariant.unchanged());
    out.println("time until every slice has an owner again, in milliseconds");
    out.printf("%-28s %6s %6s %6s %6s %8s%n", "loss", "p50", "p90", "p99", "max", "samples");
    for (RecoveryMeasurement.Loss loss : RecoveryMeasurement.Loss.values()) {
      long[] sorted = measurement.run(loss, seed, (int) schedules);
      out.printf(
          "%-28s %6d %6d %6d %6d %8d%n",
          loss,
          quantile(sorted, 0.5),
          quantile(sorted, 0.9),
          quantile(sorted, 0.99),
          sorted[sorted.length - 1],
          sorted.length);
    }
  }

  private static long quantile(long[] sorted, double share) {
    return sorted[(int) Math.min(sorted.length - 1, sorted.length * share)];
  }

  private static synchronized void print(PrintStream out, ScheduleResult result) {
    out.printf("seed %d: %s%n", result.seed(), result.violations());
    result.trace().forEach(line -> out.println("  " + line));
  }
}
