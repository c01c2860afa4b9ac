package org.foxtailford.benchmarks.capacity;

import java.util.List;
import java.util.stream.Collectors;

/**
 * One quantity measured at several sizes.
 *
 * @param quantity what was measured, with its unit
 * @param sizeName what the sizes count
 * @param points measured values
 * @param fit line through them
 */
record Measurement(String quantity, String sizeName, List<LinearFit.Point> points, LinearFit fit) {

  static Measurement of(String quantity, String sizeName, List<LinearFit.Point> points) {
    return new Measurement(quantity, sizeName, points, LinearFit.of(points));
  }

  double at(double size) {
    return fit.at(size);
  }

  /** Returns the line of the page's table. */
  String row() {
    String measured =
        points.stream()
            .map(p -> String.format("%,.0f: %,.3g", p.size(), p.value()))
            .collect(Collectors.joining("; "));
    return String.format(
        "| %s | %s | %s | %.4g | %.3g | %.1f%% |",
        quantity, sizeName, measured, fit.slope(), fit.intercept(), 100 * fit.error());
  }
}
