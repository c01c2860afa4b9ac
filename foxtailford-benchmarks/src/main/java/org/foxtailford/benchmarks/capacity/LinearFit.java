package org.foxtailford.benchmarks.capacity;

import java.util.List;
import org.foxtailford.core.util.Assert;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept value at zero
 * @param slope growth of the value with the size
 * @param error largest distance of a point from the line, relative to the largest value
 */
record LinearFit(double intercept, double slope, double error) {

  private static final int MIN_POINTS = 3;

  /** A measured value at a size. */
  record Point(double size, double value) {}

  /** Returns the line of at least three points. */
  static LinearFit of(List<Point> points) {
    Assert.isTrue(points.size() >= MIN_POINTS, "at least three sizes are needed");
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    double slope = covariance / variance;
    double intercept = meanValue - slope * meanSize;
    double most = points.stream().mapToDouble(Point::value).max().orElseThrow();
    double distance =
        points.stream()
            .mapToDouble(p -> Math.abs(p.value() - intercept - slope * p.size()))
            .max()
            .orElseThrow();
    return new LinearFit(intercept, slope, most == 0 ? 0 : distance / most);
  }

  /** Returns the value of the line at a size, never below zero. */
  double at(double size) {
    return Math.max(0, intercept + slope * size);
  }
}
