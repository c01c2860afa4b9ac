package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.foxtailford.core.range.OwnerCapacities.Upstream;
import org.testng.annotations.Test;

public class OwnerCapacitiesTests {

  /** Eleven fast upstreams and five that take two and a half times as long. */
  private static List<Upstream> unequalUpstreams() {
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      upstreams.add(new Upstream(3, i < 11 ? 1.15 : 0.46));
    }
    return upstreams;
  }

  private static double total(List<Upstream> upstreams) {
    return upstreams.stream().mapToDouble(Upstream::throughput).sum();
  }

  @Test
  public void slowUpstreamsGetAlmostNothingWhileFastOnesHaveRoom() {
    List<Double> shares = OwnerCapacities.divide(unequalUpstreams(), 18);
    assertThat(shares.get(15)).isLessThan(0.1 * shares.get(0));
    assertThat(shares.get(15)).isPositive();
  }

  @Test
  public void underFullLoadTheShareIsThatOfTheSpeed() {
    List<Upstream> upstreams = unequalUpstreams();
    List<Double> shares = OwnerCapacities.divide(upstreams, total(upstreams));
    assertThat(shares.get(15) / shares.get(0)).isCloseTo(0.46 / 1.15, within(0.01));
  }

  @Test
  public void equalUpstreamsGetEqualShares() {
    List<Upstream> upstreams = List.of(new Upstream(4, 1), new Upstream(4, 1), new Upstream(8, 1));
    List<Double> shares = OwnerCapacities.divide(upstreams, 8);
    assertThat(shares.get(0)).isEqualTo(shares.get(1));
    assertThat(shares.get(2)).isGreaterThanOrEqualTo(2 * shares.get(0));
  }

  @Test
  public void sharesAddUpToTheLoad() {
    List<Upstream> upstreams = unequalUpstreams();
    double load = 0.7 * total(upstreams);
    double sum =
        OwnerCapacities.divide(upstreams, load).stream().mapToDouble(Double::doubleValue).sum();
    assertThat(sum).isCloseTo(load, within(0.05 * load));
  }

  /**
   * Replays requests of 262 ms on average, a fifth of them three times as long as the others, with
   * an aim of 2.7 times the average, at 42% of what all upstreams can do.
   */
  @Test
  public void fewerRequestsAreLateThanWhenDividedBySpeed() {
    List<Upstream> upstreams = unequalUpstreams();
    double load = 0.42 * total(upstreams);
    List<Double> bySpeed = upstreams.stream().map(Upstream::throughput).toList();
    double lateBySpeed = lateFraction(upstreams, bySpeed, load);
    double late = lateFraction(upstreams, OwnerCapacities.divide(upstreams, load), load);
    assertThat(lateBySpeed).isGreaterThan(0.03);
    assertThat(late).isLessThan(lateBySpeed / 2);
  }

  private static double lateFraction(List<Upstream> upstreams, List<Double> shares, double load) {
    Random random = new Random(5);
    double allShares = shares.stream().mapToDouble(Double::doubleValue).sum();
    List<PriorityQueue<Double>> slotsFreeAt = new ArrayList<>();
    for (Upstream upstream : upstreams) {
      PriorityQueue<Double> freeAt = new PriorityQueue<>();
      for (int slot = 0; slot < upstream.slots(); slot++) {
        freeAt.add(0.0);
      }
      slotsFreeAt.add(freeAt);
    }
    double nowMs = 0;
    int late = 0;
    int requests = 40_000;
    for (int i = 0; i < requests; i++) {
      nowMs -= 262 / load * Math.log(1 - random.nextDouble());
      double point = random.nextDouble() * allShares;
      int chosen = 0;
      while (chosen < shares.size() - 1 && point >= shares.get(chosen)) {
        point -= shares.get(chosen);
        chosen++;
      }
      double workMs = 262 / 1.4 * (random.nextInt(5) == 0 ? 3 : 1);
      PriorityQueue<Double> freeAt = slotsFreeAt.get(chosen);
      double endMs = Math.max(nowMs, freeAt.poll()) + workMs / upstreams.get(chosen).speed();
      freeAt.add(endMs);
      late += endMs - nowMs > 2.7 * 262 ? 1 : 0;
    }
    return (double) late / requests;
  }
}
