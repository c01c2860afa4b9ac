package org.foxtailford.core.range;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.util.Assert;

/**
 * Divides the load of a keyed service among upstreams of unequal speed so that their expected
 * answer times are equal.
 *
 * <p>Handles upstreams that take several times as long as others. If load were divided by speed
 * alone, the requests at a slow upstream would all be late, though fast ones have slots free. Under
 * little load a slow upstream therefore gets almost no keys, and under full load its share by
 * speed. Stateless.
 */
public final class OwnerCapacities {

  /**
   * Load that is assumed at least, as a fraction of all capacity; under little load, the keys would
   * otherwise gather at the fastest upstream, and the next burst with them.
   */
  private static final double MIN_UTILIZATION = 0.4;

  /** Utilization from which answer times are dominated by queues, so that only speed counts. */
  private static final double MAX_UTILIZATION = 0.95;

  /** Share of its capacity that each upstream gets, so that its speed is still measured. */
  private static final double MIN_SHARE = 0.03;

  /** Lowest speed of an upstream that limits its load. */
  private static final double MIN_SPEED = 0.01;

  /** Number of halvings of the interval of answer times; a precision of a millionth. */
  private static final int HALVINGS = 20;

  private OwnerCapacities() {}

  /**
   * Upstream of a service.
   *
   * @param slots requests that it processes concurrently; positive
   * @param speed its speed relative to the average; positive
   */
  public record Upstream(int slots, double speed) {

    /** Validates the numbers. */
    public Upstream {
      Assert.isTrue(slots > 0, "slots must be positive");
      Assert.isTrue(speed > 0, "speed must be positive");
    }

    /**
     * Returns this upstream with its speed lowered so that its load is at most a number of slots of
     * average speed. It then gets few keys unless the others are busy, as a slow upstream does.
     */
    public Upstream limitedTo(double busySlots) {
      return new Upstream(slots, Math.min(speed, Math.max(MIN_SPEED, busySlots / slots)));
    }

    double throughput() {
      return slots * speed;
    }

    /**
     * Returns the utilization at which the expected answer time has a given length, as a multiple
     * of the average work. The wait for a free slot is approximated by that of a queue with a
     * utilization of {@code u}: {@code u² / (slots (1 - u))} of the upstream's own work.
     */
    double utilization(double answerTime) {
      double wait = slots * (answerTime * speed - 1);
      return wait <= 0 ? 0 : (Math.sqrt(wait * wait + 4 * wait) - wait) / 2;
    }
  }

  /**
   * Returns the load for each upstream, in slots of average speed, in the order given. Only the
   * ratios matter; they apply to loads that differ from the one given.
   *
   * @param demand present load, in slots of average speed that it keeps busy
   */
  public static List<Double> divide(List<Upstream> upstreams, double demand) {
    double total = upstreams.stream().mapToDouble(Upstream::throughput).sum();
    double load = Math.max(demand, MIN_UTILIZATION * total);
    double answerTime =
        load >= MAX_UTILIZATION * total ? Double.MAX_VALUE : answerTime(upstreams, load);
    List<Double> shares = new ArrayList<>();
    for (Upstream upstream : upstreams) {
      double utilization = answerTime == Double.MAX_VALUE ? 1 : upstream.utilization(answerTime);
      shares.add(upstream.throughput() * Math.max(MIN_SHARE, utilization));
    }
    return shares;
  }

  /** Returns the answer time at which the upstreams together carry a load. */
  private static double answerTime(List<Upstream> upstreams, double load) {
    double low = 0;
    double high = 1;
    while (load(upstreams, high) < load) {
      low = high;
      high *= 2;
    }
    for (int i = 0; i < HALVINGS; i++) {
      double middle = (low + high) / 2;
      if (load(upstreams, middle) < load) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return high;
  }

  private static double load(List<Upstream> upstreams, double answerTime) {
    return upstreams.stream()
        .mapToDouble(upstream -> upstream.throughput() * upstream.utilization(answerTime))
        .sum();
  }
}
