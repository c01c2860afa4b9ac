package org.foxtailford.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Runs the commands of the operators' page, in their order, as a shell would. */
public class RunbookTests {

  private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");
  private static final int MIN_COMMANDS = 20;
  private static final Pattern LINE =
      Pattern.compile("foxtailctl (.*?)(?: > (\\S+))?(?:\\s+# exit ([0-9]+))?");
  private static final long NEWEST_VERSION = 1000;
  private static final Pattern WORD = Pattern.compile("\"([^\"]*)\"|(\\S+)");

  @Test
  public void everyCommandOfThePageWorks() throws IOException {
    Path folder = Files.createTempDirectory("runbook");
    int commands = 0;
    try (OperatorFixture fixture = new OperatorFixture()) {
      Files.writeString(folder.resolve("first.json"), OperatorFixture.DOCUMENT);
      assertThat(fixture.run("config", "apply", folder.resolve("first.json").toString()))
          .isEqualTo(ExitStatus.DONE);
      fixture.grant("menu-planning", "menu-a1");
      fixture.peerVersions().put("entry-b1", NEWEST_VERSION);
      for (String line : Files.readAllLines(PAGE)) {
        Matcher matcher = LINE.matcher(line.strip());
        if (matcher.matches()) {
          run(fixture, folder, matcher);
          commands++;
        }
      }
    }
    assertThat(commands).isGreaterThanOrEqualTo(MIN_COMMANDS);
  }

  private static void run(OperatorFixture fixture, Path folder, Matcher line) throws IOException {
    List<String> words = new ArrayList<>();
    Matcher word = WORD.matcher(line.group(1));
    while (word.find()) {
      String text = word.group(1) != null ? word.group(1) : word.group(2);
      words.add(text.endsWith(".json") ? folder.resolve(text).toString() : text);
    }
    ExitStatus status = fixture.run(words.toArray(String[]::new));
    int expected = line.group(3) == null ? 0 : Integer.parseInt(line.group(3));
    assertThat(status.number()).as("%s%n%s", line.group(), fixture.err()).isEqualTo(expected);
    if (line.group(2) != null) {
      Files.writeString(folder.resolve(line.group(2)), fixture.out());
    }
  }
}
