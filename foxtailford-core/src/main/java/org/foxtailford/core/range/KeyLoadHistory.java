package org.foxtailford.core.range;

/**
 * Requests for each key of a service over a short and a long time. Not thread-safe.
 *
 * <p>The short one shows keys that have just become hot; the long one has enough requests to tell
 * chance from a lasting difference.
 */
public final class KeyLoadHistory {

  /** About three seconds. */
  private static final double RECENT = 0.7;

  /** About twelve seconds. */
  private static final double LASTING = 0.92;

  private final DecayingKeyLoads recent = new DecayingKeyLoads(RECENT);
  private final DecayingKeyLoads longTerm = new DecayingKeyLoads(LASTING);

  /** Adds requests for a key. */
  public void add(int key, int requests, long nowMs) {
    recent.add(key, requests, nowMs);
    longTerm.add(key, requests, nowMs);
  }

  /** Lets older requests fade. */
  public void decay(long nowMs) {
    recent.decay(nowMs);
    longTerm.decay(nowMs);
  }

  /** Returns the load of the last seconds. */
  public DecayingKeyLoads recent() {
    return recent;
  }

  /** Returns the load of a longer time. */
  public DecayingKeyLoads longTerm() {
    return longTerm;
  }
}
