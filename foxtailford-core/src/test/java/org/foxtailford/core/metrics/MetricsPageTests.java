package org.foxtailford.core.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Verifies that the metrics page lists exactly the meters that {@link RouterMetrics} registers. */
public class MetricsPageTests {

  private static final Path PAGE = Path.of("..", "docs", "METRICS.md");

  @Test
  public void pageListsEveryMeterAndNoOther() throws Exception {
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    RouterMetrics metrics = new RouterMetrics(registry);
    for (Method method : RouterMetrics.class.getDeclaredMethods()) {
      if (Modifier.isPublic(method.getModifiers())) {
        method.invoke(metrics, argumentsOf(method));
      }
    }
    List<String> meters =
        registry.getMeters().stream()
            .map(MetricsPageTests::row)
            .distinct()
            .sorted()
            .collect(Collectors.toList());
    assertThat(rowsOfPage()).containsExactlyElementsOf(meters);
  }

  private static Object[] argumentsOf(Method method) {
    return Arrays.stream(method.getParameterTypes()).map(MetricsPageTests::example).toArray();
  }

  private static Object example(Class<?> type) {
    if (type.isEnum()) {
      return type.getEnumConstants()[0];
    }
    if (type == String.class) {
      return "example";
    }
    if (type == int.class) {
      return 1;
    }
    if (type == long.class) {
      return 1L;
    }
    if (type == LongSupplier.class) {
      return (LongSupplier) () -> 1L;
    }
    if (type == BooleanSupplier.class) {
      return (BooleanSupplier) () -> true;
    }
    throw new IllegalArgumentException("no example of " + type);
  }

  private static String row(Meter meter) {
    String tags =
        meter.getId().getTags().stream().map(Tag::getKey).collect(Collectors.joining(", "));
    String type = meter.getId().getType().name().toLowerCase(Locale.ROOT);
    return String.format("| `%s` | %s | %s", meter.getId().getName(), type, tags);
  }

  private static List<String> rowsOfPage() throws IOException {
    return Files.readAllLines(PAGE).stream()
        .filter(line -> line.startsWith("| `"))
        .map(line -> line.replaceFirst(" \\| [^|]+ \\|$", ""))
        .toList();
  }
}
