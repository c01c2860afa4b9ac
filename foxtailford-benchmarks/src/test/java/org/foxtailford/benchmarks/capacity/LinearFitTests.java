package org.foxtailford.benchmarks.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.foxtailford.benchmarks.capacity.LinearFit.Point;
import org.testng.annotations.Test;

public class LinearFitTests {

  @Test
  public void findsTheLineThroughPointsOnIt() {
    LinearFit fit = LinearFit.of(List.of(new Point(1, 5), new Point(2, 7), new Point(4, 11)));
    assertThat(fit.slope()).isCloseTo(2, within(1e-9));
    assertThat(fit.intercept()).isCloseTo(3, within(1e-9));
    assertThat(fit.error()).isCloseTo(0, within(1e-9));
    assertThat(fit.at(10)).isCloseTo(23, within(1e-9));
  }

  @Test
  public void reportsTheDistanceOfPointsOffTheLine() {
    LinearFit fit = LinearFit.of(List.of(new Point(0, 0), new Point(1, 2), new Point(2, 0)));
    assertThat(fit.error()).isGreaterThan(0.3);
  }

  @Test
  public void refusesFewerThanThreeSizes() {
    assertThatThrownBy(() -> LinearFit.of(List.of(new Point(0, 0), new Point(1, 2))))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
