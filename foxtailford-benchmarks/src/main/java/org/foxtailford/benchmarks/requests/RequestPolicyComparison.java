package org.foxtailford.benchmarks.requests;

import java.io.PrintStream;
import java.util.Locale;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Compares the request path with simpler choices on modelled upstreams and prints one table. */
public final class RequestPolicyComparison {

  private static final int USAGE_STATUS = 64;
  private static final double STRAGGLER_LOAD = 0.6;
  private static final double SHED_LOAD = 0.8;
  private static final double MICROS_PER_MS = 1000;

  @Option(name = "--seed", metaVar = "N", usage = "seed of the random numbers (default 1)")
  private long seed = 1;

  @Option(name = "--seconds", metaVar = "N", usage = "modelled time of a run (default 20)")
  private int seconds = 20;

  @Option(
      name = "--upstream-queue",
      metaVar = "N",
      usage = "requests that wait at one upstream before it refuses (default 6)")
  private int upstreamQueue = 6;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help and exit")
  private boolean help;

  /** Runs the comparison. */
  public static void main(String[] args) {
    RequestPolicyComparison comparison = new RequestPolicyComparison();
    CmdLineParser parser = new CmdLineParser(comparison);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(USAGE_STATUS);
    }
    if (comparison.help) {
      parser.printUsage(System.out);
      return;
    }
    comparison.print(System.out);
  }

  private void print(PrintStream out) {
    out.printf("seed %d, %d s, upstream queue %d%n", seed, seconds, upstreamQueue);
    out.printf(
        "%-11s %-16s | %8s %8s %6s %7s %8s | %9s %10s %8s%n",
        "customer",
        "policy",
        "p99 ms",
        "strag.",
        "ratio",
        "work +",
        "refused",
        "good/left",
        "work +",
        "p99 ms");
    for (CustomerSize size : CustomerSize.values()) {
      for (PolicyKind kind : PolicyKind.values()) {
        printRow(out, size, kind);
      }
    }
  }

  private void printRow(PrintStream out, CustomerSize size, PolicyKind kind) {
    RunResult calm = run(size, kind, LoadRun.Fault.NONE, STRAGGLER_LOAD);
    RunResult slow = run(size, kind, LoadRun.Fault.STRAGGLERS, STRAGGLER_LOAD);
    RunResult shed = run(size, kind, LoadRun.Fault.HALF_SHED, SHED_LOAD);
    out.printf(
        Locale.ROOT,
        "%-11s %-16s | %8.1f %8.1f %6.2f %6.1f%% %7.2f%% | %8.1f%% %9.1f%% %8.1f%n",
        size.name().toLowerCase(Locale.ROOT),
        kind.label(),
        calm.p99Micros() / MICROS_PER_MS,
        slow.p99Micros() / MICROS_PER_MS,
        (double) slow.p99Micros() / calm.p99Micros(),
        100 * slow.extraStarted(),
        100.0 * slow.refused() / slow.offered(),
        100 * shed.served() / (shed.capacity() / 2),
        100 * shed.extraReceived(),
        shed.p99Micros() / MICROS_PER_MS);
  }

  private RunResult run(CustomerSize size, PolicyKind kind, LoadRun.Fault fault, double load) {
    LoadProfile profile = new LoadProfile(load, seconds, upstreamQueue, seed);
    return new LoadRun(size, kind, fault, profile).run();
  }
}
