package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.foxtailford.core.configuration.ConfigurationChecker;
import org.foxtailford.core.configuration.ConfigurationDifference;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.ConfigurationDocument;
import org.kohsuke.args4j.Option;

/** Commands on the configuration document. */
final class ConfigCommands {

  private static final String PATH = "/v1/configuration";
  private static final Pattern VERSION_LINE = Pattern.compile("\\A// version ([0-9]{1,18})\\R");

  private ConfigCommands() {}

  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new ResultCodeException(ResultCode.UNKNOWN_RESOURCE, "cannot read " + file, e);
    }
  }

  private static ConfigurationDocument parse(String text) {
    return new ConfigurationChecker().check(text, Optional.empty()).requireAcceptable(false);
  }

  /** Prints the stored document, or the content of an earlier version to apply again. */
  static final class Get extends AbstractCommand {

    @Option(name = "--at", metaVar = "VERSION", usage = "print the content of an earlier version")
    private long at;

    @Override
    String usage() {
      return "> FILE";
    }

    @Override
    ExitStatus run(CommandIo io) {
      arguments(0);
      OperatorClient client = client(io);
      OperatorReply reply = client.get(PATH);
      JsonNode document = reply.body();
      if (at > 0) {
        document = client.get("/v1/history/" + at).body().path("document");
      }
      if (!json()) {
        io.out().println("// version " + reply.version());
      }
      io.out().println(document.toPrettyString());
      return ExitStatus.DONE;
    }
  }

  /** Compares documents. */
  static final class Diff extends AbstractCommand {

    @Override
    String usage() {
      return "FILE | VERSION VERSION";
    }

    @Override
    ExitStatus run(CommandIo io) {
      OperatorClient client = client(io);
      ConfigurationDifference difference;
      if (arguments().size() == 2) {
        difference =
            ConfigurationDifference.between(
                version(client, arguments().get(0)), version(client, arguments().get(1)));
      } else {
        ConfigurationDocument file = parse(read(arguments(1).get(0)));
        ConfigurationDocument stored = parse(client.get(PATH).body().toString());
        difference = ConfigurationDifference.between(stored, file);
      }
      difference.changes().forEach(change -> io.out().println(change));
      if (difference.changes().isEmpty()) {
        io.err().println("no difference");
      }
      return ExitStatus.DONE;
    }

    private static ConfigurationDocument version(OperatorClient client, String number) {
      return parse(client.get("/v1/history/" + number).body().path("document").toString());
    }
  }

  /** Checks a document without changing anything. */
  static final class Check extends AbstractChangeCommand {

    @Override
    String usage() {
      return "FILE";
    }

    @Override
    ExitStatus run(CommandIo io) {
      String text = read(arguments(1).get(0));
      String path = PATH + "?check=true" + (force() ? "&force=true" : "");
      JsonNode body = client(io).put(path, text, Map.of()).body();
      if (!printedAsJson(io, body)) {
        printFindings(io, body);
        io.out().println("the document would be accepted");
      }
      return ExitStatus.DONE;
    }
  }

  /** Replaces the stored document. */
  static final class Apply extends AbstractChangeCommand {

    @Option(
        name = "--base",
        metaVar = "VERSION",
        usage = "version that the file was made from, if its first line does not tell")
    private long base = -1;

    @Override
    String usage() {
      return "FILE";
    }

    @Override
    ExitStatus run(CommandIo io) {
      String text = read(arguments(1).get(0));
      return printAccepted(io, sender(io).apply(text, baseOf(text)));
    }

    private long baseOf(String text) {
      Matcher line = VERSION_LINE.matcher(text);
      if (base >= 0) {
        return base;
      }
      if (line.find()) {
        return Long.parseLong(line.group(1));
      }
      throw new ResultCodeException(
          ResultCode.USAGE,
          "the file does not start with \"// version N\" as `config get` prints it;"
              + " name the version that it was made from with --base");
    }
  }

  /** Lists the accepted versions. */
  static final class History extends AbstractCommand {

    @Override
    String usage() {
      return "";
    }

    @Override
    ExitStatus run(CommandIo io) {
      arguments(0);
      JsonNode body = client(io).get("/v1/history").body();
      if (printedAsJson(io, body)) {
        return ExitStatus.DONE;
      }
      TextTable table = new TextTable("VERSION", "WHEN", "WHO", "NOTE");
      for (JsonNode version : body.path("versions")) {
        table.add(
            text(version, "version"),
            Instant.ofEpochMilli(version.path("whenMs").asLong()).toString(),
            text(version, "who"),
            text(version, "note"));
      }
      table.print(io.out());
      return ExitStatus.DONE;
    }
  }
}
