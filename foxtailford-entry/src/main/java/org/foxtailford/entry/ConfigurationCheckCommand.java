package org.foxtailford.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailford.core.review.ConfigurationComparison;
import org.foxtailford.core.review.ConfigurationReview;
import org.foxtailford.core.review.Finding;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.platform.JsonPlatformRows;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * The {@code check-configuration} command: reviews a configuration before it is written to the
 * store, with the parser of the entry VMs, and compares it with the one in force.
 */
public final class ConfigurationCheckCommand {

  /** Exit status for a configuration without faults. */
  static final int EXIT_CLEAN = 0;

  /** Exit status for a configuration with faults. */
  static final int EXIT_FAULTS = 1;

  /** Exit status if the command line is invalid or a file can't be read. */
  static final int EXIT_TROUBLE = 2;

  private static final String NAME = "check-configuration";

  private final PlatformRows rows;
  private final InputStream in;
  private final PrintStream out;
  private final PrintStream err;

  ConfigurationCheckCommand(PlatformRows rows, InputStream in, PrintStream out, PrintStream err) {
    this.rows = Assert.notNull(rows, "rows");
    this.in = Assert.notNull(in, "in");
    this.out = Assert.notNull(out, "out");
    this.err = Assert.notNull(err, "err");
  }

  /** Runs the command and exits with its status. */
  public static void main(String[] args) {
    System.exit(
        new ConfigurationCheckCommand(new JsonPlatformRows(), System.in, System.out, System.err)
            .run(args));
  }

  /** Runs the command and returns its exit status. */
  int run(String... args) {
    ConfigurationCheckOptions options = new ConfigurationCheckOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(NAME + ": " + e.getMessage());
      err.println("usage: " + NAME + " [FILE] [--in-force FILE] [--json]");
      parser.printUsage(err);
      return EXIT_TROUBLE;
    }
    try {
      byte[] candidate =
          options.file().isPresent() ? read(options.file().get()) : in.readAllBytes();
      Optional<RoutingConfiguration> inForce = Optional.empty();
      if (options.inForce().isPresent()) {
        inForce = Optional.of(parse(read(options.inForce().get())));
      }
      return check(candidate, inForce, options.json());
    } catch (IOException e) {
      err.println(NAME + ": can't read " + e.getMessage());
      return EXIT_TROUBLE;
    } catch (UnreadableRowException e) {
      err.println(NAME + ": the configuration in force can't be parsed: " + reasonOf(e));
      return EXIT_TROUBLE;
    }
  }

  private static byte[] read(String file) throws IOException {
    return Files.readAllBytes(Path.of(file));
  }

  private RoutingConfiguration parse(byte[] file) {
    return rows.readConfiguration(new Row("config", file, new StoreVersion(0, 1), false));
  }

  private int check(byte[] candidate, Optional<RoutingConfiguration> inForce, boolean json) {
    List<Finding> findings = new ArrayList<>();
    List<String> differences = new ArrayList<>();
    try {
      RoutingConfiguration configuration = parse(candidate);
      inForce
          .flatMap(current -> ConfigurationReview.reviewVersion(configuration, current))
          .ifPresent(findings::add);
      findings.addAll(ConfigurationReview.review(configuration));
      inForce.ifPresent(
          current -> differences.addAll(ConfigurationComparison.compare(current, configuration)));
    } catch (UnreadableRowException e) {
      findings.add(new Finding(Finding.Severity.ERROR, "configuration", reasonOf(e)));
    }
    if (json) {
      printJson(findings, differences);
    } else {
      findings.forEach(f -> out.println(f.severity() + " " + f.subject() + ": " + f.message()));
      differences.forEach(line -> out.println("DIFFERENCE " + line));
      out.println(findings.isEmpty() ? "no faults" : findings.size() + " faults");
    }
    return findings.isEmpty() ? EXIT_CLEAN : EXIT_FAULTS;
  }

  private static String reasonOf(UnreadableRowException e) {
    Throwable cause = e.getCause();
    return cause == null
        ? String.valueOf(e.getMessage())
        : e.getMessage() + ": " + cause.getMessage();
  }

  private void printJson(List<Finding> findings, List<String> differences) {
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode report = mapper.createObjectNode();
    report.set("findings", mapper.valueToTree(findings));
    report.set("differences", mapper.valueToTree(differences));
    out.println(report);
  }
}
