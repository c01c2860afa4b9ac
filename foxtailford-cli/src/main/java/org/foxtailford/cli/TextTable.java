package org.foxtailford.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Rows of text in aligned columns. */
final class TextTable {

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  TextTable(String... titles) {
    rows.add(List.of(titles));
  }

  void add(String... cells) {
    rows.add(List.of(cells));
  }

  void print(PrintStream out) {
    rows.forEach(row -> out.println(line(row)));
  }

  private String line(List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < row.size(); i++) {
      line.append(row.get(i));
      if (i + 1 < row.size()) {
        line.append(" ".repeat(width(i) - row.get(i).length())).append(GAP);
      }
    }
    return line.toString().stripTrailing();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
