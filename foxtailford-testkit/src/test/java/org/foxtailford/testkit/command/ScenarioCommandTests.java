package org.foxtailford.testkit.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ScenarioCommandTests {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private Path file;

  @BeforeMethod
  public void createFile() throws IOException {
    out.reset();
    file = Files.createTempFile("calm", ".scenario");
  }

  @AfterMethod
  public void deleteFile() throws IOException {
    Files.delete(file);
  }

  @Test
  public void scenarioThatHoldsEndsWithZero() throws IOException {
    Files.writeString(file, "title: calm\nseed: 1\nlength: 3s\nexpect: one owner\n");
    assertThat(execute("--quiet", file.toString())).isZero();
    assertThat(out.toString()).contains("calm");
  }

  @Test
  public void eachOfSeveralFilesIsRun() throws IOException {
    Files.writeString(file, "title: calm\nseed: 1\nlength: 3s\nexpect: one owner\n");
    execute("--quiet", file.toString(), file.toString());
    assertThat(out.toString().lines()).hasSize(2);
  }

  @Test
  public void fileThatCannotBeParsedFails() throws IOException {
    Files.writeString(file, "title: calm\nexpect: a miracle\n");
    assertThat(execute(file.toString())).isEqualTo(1);
  }

  @Test
  public void noFileIsAMistakeInUsage() throws IOException {
    assertThat(execute()).isEqualTo(64);
  }

  private int execute(String... args) throws IOException {
    PrintStream printer = new PrintStream(out, true);
    return ScenarioCommand.execute(printer, printer, args);
  }
}
