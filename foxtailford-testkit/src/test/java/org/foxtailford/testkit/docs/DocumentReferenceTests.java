package org.foxtailford.testkit.docs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DocumentReferenceTests {

  private static final Path ROOT = Path.of("..");
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#:]+)(?:#[^)]*)?\\)");
  private static final Pattern CLASS = Pattern.compile("`([A-Z][A-Za-z]+(?:Tests|Properties)?)`");
  private static final Pattern SCENARIO = Pattern.compile("`([a-z-]+\\.scenario)`");

  @DataProvider
  public Object[][] pages() throws IOException {
    try (Stream<Path> files = Stream.concat(markdown(ROOT, 1), markdown(ROOT.resolve("docs"), 3))) {
      return files.map(file -> new Object[] {file}).toArray(Object[][]::new);
    }
  }

  private static Stream<Path> markdown(Path folder, int depth) throws IOException {
    return Files.walk(folder, depth).filter(file -> file.toString().endsWith(".md")).sorted();
  }

  @Test(dataProvider = "pages")
  public void linksLeadToFiles(Path page) throws IOException {
    List<String> missing =
        matches(LINK, page).stream()
            .filter(target -> !Files.exists(page.resolveSibling(target)))
            .toList();
    assertThat(missing).as(page.toString()).isEmpty();
  }

  @Test
  public void promisesNameClassesThatExist() throws IOException {
    Set<String> classes = javaFiles();
    List<String> missing =
        matches(CLASS, ROOT.resolve("docs/PROMISES.md")).stream()
            .filter(name -> !classes.contains(name + ".java"))
            .toList();
    assertThat(missing).isEmpty();
  }

  @Test
  public void promisesNameEveryScenario() throws IOException {
    Set<String> named = Set.copyOf(matches(SCENARIO, ROOT.resolve("docs/PROMISES.md")));
    try (Stream<Path> files = Files.list(ROOT.resolve("scenarios"))) {
      Set<String> present =
          files.map(file -> file.getFileName().toString()).collect(Collectors.toSet());
      assertThat(named).isEqualTo(present);
    }
  }

  private static Set<String> javaFiles() throws IOException {
    try (Stream<Path> files = Files.walk(ROOT)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith(".java"))
          .collect(Collectors.toSet());
    }
  }

  private static List<String> matches(Pattern pattern, Path page) throws IOException {
    Matcher matcher = pattern.matcher(Files.readString(page));
    return matcher.results().map(result -> result.group(1)).distinct().toList();
  }
}
