package org.foxtailford.core.upstream;

/**
 * What one entry VM knows of another's fitness to serve requests for it. Times are in milliseconds.
 * Not thread-safe.
 */
public final class RelayPeer {

  private int inFlight;
  private long avoidedUntilMs;
  private long lastAnswerMs;
  private boolean cutOff;
  private long statedMs;

  /** Returns the number of requests that the peer has not answered. */
  public int inFlight() {
    return inFlight;
  }

  /** Records that a request is sent to the peer; its end must be recorded, too. */
  public void recordStart() {
    inFlight++;
  }

  /** Records the end of a request that was sent to the peer. */
  public void recordEnd() {
    inFlight--;
  }

  /**
   * Records an answer of the peer.
   *
   * @param statesCutOff whether the peer refused the request since it reaches no upstream
   */
  public void recordAnswer(boolean statesCutOff, long nowMs) {
    lastAnswerMs = nowMs;
    cutOff = statesCutOff;
    statedMs = nowMs;
  }

  /** Returns when the peer last answered; 0 if never. */
  public long lastAnswerMs() {
    return lastAnswerMs;
  }

  /** Prefers other peers until a time. */
  public void avoidUntil(long untilMs) {
    avoidedUntilMs = Math.max(avoidedUntilMs, untilMs);
  }

  /** Returns whether other peers are preferred. */
  public boolean isAvoided(long nowMs) {
    return nowMs < avoidedUntilMs;
  }

  /** Returns whether the peer's last answer stated that it reaches no upstream. */
  public boolean isCutOff() {
    return cutOff;
  }

  /** Returns when the peer last stated whether it reaches upstreams. */
  long statedMs() {
    return statedMs;
  }
}
