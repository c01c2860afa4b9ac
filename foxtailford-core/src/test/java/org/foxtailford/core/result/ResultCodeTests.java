package org.foxtailford.core.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

public class ResultCodeTests {

  private static final Path PAGE = Path.of("..", "docs", "RESULT_CODES.md");

  @Test
  public void numbersAreUnique() {
    assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
  }

  @Test
  public void pageListsEveryCodeAndNoOther() throws IOException {
    List<String> rows =
        Files.readAllLines(PAGE).stream().filter(line -> line.matches("\\| [0-9]+ .*")).toList();
    List<String> expected =
        Arrays.stream(ResultCode.values()).map(ResultCodeTests::row).collect(Collectors.toList());
    assertThat(rows).containsExactlyElementsOf(expected);
  }

  private static String row(ResultCode code) {
    return String.format(
        "| %d | %s | %d | %s | %s |",
        code.number(), code, code.httpStatus(), code.effect(), code.description());
  }
}
