package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.net.tls.ClientTls;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Options and output that all commands share. */
abstract class AbstractCommand {

  /** Environment variable with endpoints, separated by commas. */
  static final String OPERATORS_VARIABLE = "FOXTAILCTL_OPERATORS";

  private static final int MAX_PORT = 65_535;

  @Option(
      name = "--operator",
      metaVar = "HOST:PORT",
      usage = "operators' interface; repeat it for more, which are tried in order")
  private List<String> operators = new ArrayList<>();

  @Option(name = "--json", usage = "print JSON for programs")
  private boolean json;

  @Option(name = "--as", metaVar = "NAME", usage = "your name, for the log and the history")
  private @Nullable String operatorName;

  @Option(name = "--certificate", metaVar = "FILE", usage = "PEM file with your certificate")
  private @Nullable String certificate;

  @Option(name = "--key-file", metaVar = "FILE", usage = "PEM file with your private key")
  private @Nullable String keyFile;

  @Option(name = "--trust", metaVar = "FILE", usage = "PEM file with the accepted authorities")
  private @Nullable String trust;

  @Option(name = "--timeout-ms", metaVar = "MS", usage = "longest wait for one answer")
  private int timeoutMs = 5000;

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help and exit")
  private boolean help;

  @Argument(metaVar = "ARGUMENT")
  private List<String> arguments = new ArrayList<>();

  boolean help() {
    return help;
  }

  boolean json() {
    return json;
  }

  /** Returns what stands after the command, such as {@code SERVICE KEY}. */
  abstract String usage();

  /** Runs the command. */
  abstract ExitStatus run(CommandIo io);

  /** Returns the arguments, of which there must be so many. */
  List<String> arguments(int count) {
    if (arguments.size() != count) {
      String expected = count == 0 ? "no arguments" : usage();
      throw new ResultCodeException(ResultCode.USAGE, "expected " + expected);
    }
    return arguments;
  }

  List<String> arguments() {
    return arguments;
  }

  String operatorName(CommandIo io) {
    return operatorName != null ? operatorName : io.environment().getOrDefault("USER", "unknown");
  }

  OperatorClient client(CommandIo io) {
    List<String> endpoints = new ArrayList<>(operators);
    if (endpoints.isEmpty()) {
      String listed = io.environment().getOrDefault(OPERATORS_VARIABLE, "");
      for (String endpoint : listed.split(",")) {
        if (!endpoint.isBlank()) {
          endpoints.add(endpoint.strip());
        }
      }
    }
    if (endpoints.isEmpty()) {
      throw new ResultCodeException(
          ResultCode.USAGE, "name an entry VM with --operator HOST:PORT or " + OPERATORS_VARIABLE);
    }
    for (String endpoint : endpoints) {
      boolean valid = endpoint.matches("[^\\s/]+:[0-9]{1,5}");
      if (!valid || OperatorClient.parse(endpoint).getPort() > MAX_PORT) {
        throw new ResultCodeException(ResultCode.USAGE, "not HOST:PORT: " + endpoint);
      }
    }
    return new OperatorClient(endpoints, tls(), Duration.ofMillis(timeoutMs));
  }

  private Optional<SSLContext> tls() {
    if (certificate == null && keyFile == null && trust == null) {
      return Optional.empty();
    }
    if (certificate == null || keyFile == null || trust == null) {
      throw new ResultCodeException(
          ResultCode.USAGE, "--certificate, --key-file and --trust belong together");
    }
    return Optional.of(ClientTls.context(certificate, keyFile, trust));
  }

  /** Prints the body as JSON if that is asked for; returns whether it was. */
  boolean printedAsJson(CommandIo io, JsonNode body) {
    if (json) {
      io.out().println(body.toPrettyString());
    }
    return json;
  }

  static String text(JsonNode node, String field) {
    JsonNode value = node.path(field);
    return value.isMissingNode() || value.isNull() ? "-" : value.asText();
  }
}
