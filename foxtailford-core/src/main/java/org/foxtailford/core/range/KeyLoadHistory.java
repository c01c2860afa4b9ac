package org.foxtailford.core.range;

/**
 * Decaying request counts of the keys of a service over a short and a long period. Not thread-safe.
 *
 * <p>The short period shows keys that have just become hot. The long one has enough requests to
 * distinguish lasting differences in load from random ones.
 */
public final class KeyLoadHistory {

  /** Retention per second; an effective window of about three seconds. */
  private static final double RECENT_RETENTION = 0.7;

  /** Retention per second; an effective window of about twelve seconds. */
  private static final double LONG_TERM_RETENTION = 0.92;

  private final DecayingKeyLoads recent = new DecayingKeyLoads(RECENT_RETENTION);
  private final DecayingKeyLoads longTerm = new DecayingKeyLoads(LONG_TERM_RETENTION);

  /** Adds a number of requests to both counts of a key. */
  public void add(int key, int requests, long nowMs) {
    recent.add(key, requests, nowMs);
    longTerm.add(key, requests, nowMs);
  }

  /** Returns the present rate of requests for all keys, per second; higher in a burst. */
  public double requestsPerSecond() {
    return Math.max(recent.requestsPerSecond(), longTerm.requestsPerSecond());
  }

  /** Applies the decay of the time that has passed to both counts. */
  public void decay(long nowMs) {
    recent.decay(nowMs);
    longTerm.decay(nowMs);
  }

  /** Returns the loads of the last three seconds or so. */
  public DecayingKeyLoads recent() {
    return recent;
  }

  /** Returns the loads of the last twelve seconds or so. */
  public DecayingKeyLoads longTerm() {
    return longTerm;
  }
}
