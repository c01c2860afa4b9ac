package org.foxtailford.benchmarks.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.foxtailford.benchmarks.command.CommandLines;
import org.kohsuke.args4j.Option;

/** Measures slopes on this machine and rewrites the tables of the capacity page. */
public final class CapacityReport {

  private static final List<Fleet> FLEETS =
      List.of(new Fleet("entry", 4100, 16_500), new Fleet("mixed", 820, 3280));

  @Option(name = "--page", usage = "page to rewrite")
  private Path page = Path.of("docs/CAPACITY.md");

  /** Runs the measurements. */
  public static void main(String[] args) throws IOException {
    CapacityReport report = new CapacityReport();
    CommandLines.parse(report, args);
    report.rewrite();
  }

  private void rewrite() throws IOException {
    String text = Files.readString(page);
    CapacityPage tables = new CapacityPage();
    text = replace(text, "slopes", tables.slopes());
    for (Fleet fleet : FLEETS) {
      text = replace(text, "roles-" + fleet.name(), tables.roles(fleet));
    }
    Files.writeString(page, text);
    System.out.println("rewrote " + page);
  }

  /** Replaces what stands between a table's marks. */
  static String replace(String text, String table, String content) {
    String begin = "<!-- begin " + table + " -->";
    String end = "<!-- end " + table + " -->";
    int from = text.indexOf(begin);
    int to = text.indexOf(end);
    if (from < 0 || to < from) {
      throw new IllegalArgumentException("the page has no place for the table " + table);
    }
    return text.substring(0, from + begin.length()) + "\n" + content + "\n" + text.substring(to);
  }
}
