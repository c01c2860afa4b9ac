package org.foxtailford.testkit.docs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Compares the page's list of log messages with the calls of the logger in the daemon. */
public class LogPageTests {

  private static final Path ROOT = Path.of("..");
  private static final Path DAEMON = ROOT.resolve("foxtailford-daemon/src/main/java");
  private static final Pattern CALL =
      Pattern.compile(
          "logger\\s*\\.at(Info|Warning|Severe)\\(\\)[^;]*?\\.log\\(\\s*\"([^\"]+)\"",
          Pattern.DOTALL);
  private static final Pattern ANY_CALL = Pattern.compile("\\blogger\\s*\\.at");
  private static final Pattern ROW =
      Pattern.compile("^\\| (INFO|WARN|ERROR) \\| `(\\w+)` \\| (.+?) \\| .+ \\|$");

  @Test
  public void pageListsEveryMessageAndNoOther() throws IOException {
    List<String> rows =
        Files.readAllLines(ROOT.resolve("docs/METRICS.md")).stream()
            .flatMap(line -> ROW.matcher(line).results())
            .map(row -> row.group(1) + " " + row.group(2) + " " + row.group(3))
            .toList();
    assertThat(rows).containsExactlyInAnyOrderElementsOf(messages());
  }

  @Test
  public void everyCallOfTheLoggerIsUnderstood() throws IOException {
    long calls = 0;
    for (Path file : sources()) {
      calls += ANY_CALL.matcher(Files.readString(file)).results().count();
    }
    assertThat(messages()).hasSize((int) calls);
  }

  private static List<String> messages() throws IOException {
    Stream<String> messages = Stream.empty();
    for (Path file : sources()) {
      String logger = file.getFileName().toString().replace(".java", "");
      messages =
          Stream.concat(
              messages,
              CALL.matcher(Files.readString(file))
                  .results()
                  .map(call -> level(call) + " " + logger + " " + call.group(2)));
    }
    return messages.toList();
  }

  private static String level(MatchResult call) {
    return switch (call.group(1)) {
      case "Info" -> "INFO";
      case "Warning" -> "WARN";
      default -> "ERROR";
    };
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.walk(DAEMON)) {
      return files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
    }
  }
}
