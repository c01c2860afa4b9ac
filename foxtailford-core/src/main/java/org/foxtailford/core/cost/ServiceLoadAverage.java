package org.foxtailford.core.cost;

/** Average load of the upstreams of a service, by their latest reports. Not thread-safe. */
public final class ServiceLoadAverage {

  private static final double WEIGHT = 0.02;
  private static final double WORK_WEIGHT = 0.005;

  private double requestsPerSlot = 0.5;
  private double slowness = 1;
  private double relativeTime = 1;

  /** Adds a report of an upstream. */
  void add(double newRequestsPerSlot, double newSlowness) {
    requestsPerSlot += WEIGHT * (newRequestsPerSlot - requestsPerSlot);
    slowness += WEIGHT * (newSlowness - slowness);
  }

  /**
   * Adds answers that did not wait. Speeds are relative to the average time, since costs are
   * learned from the same answers: without a common reference both would drift together.
   */
  void addWork(int answers, double relativeTotal) {
    double weight = 1 - Math.pow(1 - WORK_WEIGHT, answers);
    relativeTime += weight * (relativeTotal / answers - relativeTime);
  }

  /** Returns the average time of answers relative to their expected cost. */
  double relativeTime() {
    return relativeTime;
  }

  /** Returns the average number of running and waiting requests of a slot. */
  public double requestsPerSlot() {
    return requestsPerSlot;
  }

  /** Returns the average slowness of the machines. */
  public double slowness() {
    return slowness;
  }
}
