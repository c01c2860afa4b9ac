package org.foxtailford.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Commands that tell who owns a key and what would be done with a request. */
final class RoutingCommands {

  private RoutingCommands() {}

  private static String encoded(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private static void printFields(CommandIo io, JsonNode body) {
    TextTable table = new TextTable("FIELD", "VALUE");
    body.fields()
        .forEachRemaining(
            field -> table.add(field.getKey(), AbstractCommand.text(body, field.getKey())));
    table.print(io.out());
  }

  /** Tells who owns a key. */
  static final class Owner extends AbstractCommand {

    @Override
    String usage() {
      return "SERVICE KEY";
    }

    @Override
    ExitStatus run(CommandIo io) {
      List<String> words = arguments(2);
      String path = "/v1/owner/" + encoded(words.get(0)) + "/" + encoded(words.get(1));
      JsonNode body = client(io).get(path).body();
      if (!printedAsJson(io, body)) {
        printFields(io, body);
      }
      return ExitStatus.DONE;
    }
  }

  /** Explains a routing decision without sending the request. */
  static final class Why extends AbstractCommand {

    @Option(name = "--key", metaVar = "KEY", usage = "key of the request")
    private @Nullable String key;

    @Override
    String usage() {
      return "SERVICE KIND";
    }

    @Override
    ExitStatus run(CommandIo io) {
      List<String> words = arguments(2);
      String path = "/v1/why?service=" + encoded(words.get(0)) + "&kind=" + encoded(words.get(1));
      if (key != null) {
        path += "&key=" + encoded(key);
      }
      JsonNode body = client(io).get(path).body();
      if (!printedAsJson(io, body)) {
        printFields(io, body);
      }
      return ExitStatus.DONE;
    }
  }
}
