package org.foxtailford.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Compares the log events in the code of the entry VM with the reference page of the log. */
public class LogReferenceTests {

  private static final Path ROOT = Path.of("..");
  private static final Pattern STATEMENT =
      Pattern.compile("logger\\s*\\.at(?:Info|Warning|Severe)\\(\\)(.*?);", Pattern.DOTALL);
  private static final Pattern LOG_CALL = Pattern.compile("\\.log\\((.*)\\)$", Pattern.DOTALL);
  private static final Pattern TEXT = Pattern.compile("\"([a-z][^\"%]*)\"");

  @Test
  public void eventsInTheCodeAreOnThePage() throws IOException {
    String page = Files.readString(ROOT.resolve("docs/LOGS.md"));
    Set<String> missing = new TreeSet<>();
    for (String event : events()) {
      if (!page.contains("`" + event + "`")) {
        missing.add(event);
      }
    }
    assertThat(missing).isEmpty();
  }

  @Test
  public void eventsOnThePageAreInTheCode() throws IOException {
    Set<String> events = events();
    Set<String> unknown = new TreeSet<>();
    Matcher rows =
        Pattern.compile("(?m)^\\| `([^`]+)`")
            .matcher(Files.readString(ROOT.resolve("docs/LOGS.md")));
    while (rows.find()) {
      if (!events.contains(rows.group(1))) {
        unknown.add(rows.group(1));
      }
    }
    assertThat(unknown).isEmpty();
  }

  private static Set<String> events() throws IOException {
    Set<String> events = new TreeSet<>();
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
        String code = Files.readString(file);
        Matcher statement = STATEMENT.matcher(code);
        while (statement.find()) {
          Matcher log = LOG_CALL.matcher(statement.group(1).strip());
          if (log.find()) {
            Matcher text = TEXT.matcher(log.group(1));
            while (text.find()) {
              events.add(text.group(1));
            }
          }
        }
      }
    }
    events.add("keys granted"); // passed as an argument to the log statement of both range commands
    events.add("keys released");
    events.add("release of keys sent");
    assertThat(events).hasSizeGreaterThan(20);
    return events;
  }
}
