package org.foxtailford.core.quota;

/** Rate of events a second, in which older events count less and less. Not thread-safe. */
final class DecayingRate {

  private final double halfLifeMs;
  private double weight;
  private long lastMs;

  DecayingRate(double halfLifeMs, long nowMs) {
    this.halfLifeMs = halfLifeMs;
    this.lastMs = nowMs;
  }

  void add(double events, long nowMs) {
    decay(nowMs);
    weight += events;
  }

  double perSecond(long nowMs) {
    decay(nowMs);
    return weight * Math.log(2) * 1000 / halfLifeMs;
  }

  private void decay(long nowMs) {
    if (nowMs > lastMs) {
      weight *= Math.pow(0.5, (nowMs - lastMs) / halfLifeMs);
      lastMs = nowMs;
    }
  }
}
