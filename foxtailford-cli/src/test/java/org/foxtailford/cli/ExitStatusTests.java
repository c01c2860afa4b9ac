package org.foxtailford.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

public class ExitStatusTests {

  private static final Path PAGE = Path.of("..", "docs", "RESULT_CODES.md");

  @Test
  public void pageListsEveryStatusAndNoOther() throws IOException {
    List<String> rows =
        Files.readAllLines(PAGE).stream()
            .filter(line -> line.matches("\\| [A-Z_]+ \\| [0-9]+ .*"))
            .toList();
    List<String> expected =
        Arrays.stream(ExitStatus.values())
            .map(s -> String.format("| %s | %d | %s |", s, s.number(), s.description()))
            .toList();
    assertThat(rows).containsExactlyElementsOf(expected);
  }
}
