package org.foxtailford.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Dependencies between the packages of this module go one way. */
public class PackageDependencyTests {

  private static final Path SOURCES = Path.of("src/main/java/org/foxtailford/core");
  private static final Pattern IMPORT =
      Pattern.compile("^import org\\.foxtailford\\.core\\.(\\w+)\\.", Pattern.MULTILINE);

  @Test
  public void noPackageDependsOnItselfThroughOthers() throws IOException {
    Map<String, Set<String>> dependencies = dependencies();
    List<String> inCycles =
        dependencies.keySet().stream()
            .filter(name -> reachable(name, dependencies).contains(name))
            .toList();
    assertThat(dependencies).isNotEmpty();
    assertThat(inCycles).isEmpty();
  }

  private static Map<String, Set<String>> dependencies() throws IOException {
    Map<String, Set<String>> dependencies = new TreeMap<>();
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
        String name = SOURCES.relativize(file).getName(0).toString();
        Set<String> used = dependencies.computeIfAbsent(name, n -> new TreeSet<>());
        used.addAll(importsOf(file));
        used.remove(name);
      }
    }
    return dependencies;
  }

  private static Set<String> importsOf(Path file) throws IOException {
    return IMPORT
        .matcher(Files.readString(file))
        .results()
        .map(found -> found.group(1))
        .collect(Collectors.toSet());
  }

  private static Set<String> reachable(String from, Map<String, Set<String>> dependencies) {
    Set<String> reached = new HashSet<>();
    Set<String> next = dependencies.get(from);
    while (!next.isEmpty()) {
      reached.addAll(next);
      next =
          next.stream()
              .flatMap(name -> dependencies.getOrDefault(name, Set.of()).stream())
              .filter(name -> !reached.contains(name))
              .collect(Collectors.toSet());
    }
    return reached;
  }
}
