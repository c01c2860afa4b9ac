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
  private long triedMs;

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

  /** Records an answer of the peer, whatever it says. */
  public void recordAnswer(long nowMs) {
    lastAnswerMs = nowMs;
  }

  /** Records that the peer refused a request since it reaches no upstream. */
  public void recordCutOff(long nowMs) {
    cutOff = true;
    statedMs = nowMs;
    triedMs = nowMs;
  }

  /** Records that the peer served a request that was sent to it at a time. */
  public void recordServed(long sentMs) {
    cutOff = cutOff && sentMs < statedMs; // an earlier request may have been sent on before the cut
  }

  /** Records that the peer is tried though it is cut off as far as known. */
  void recordTrial(long nowMs) {
    triedMs = nowMs;
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

  /** Returns whether the peer has stated that it reaches no upstream, and served nothing since. */
  public boolean isCutOff() {
    return cutOff;
  }

  /** Returns when the peer last stated that it is cut off, or was tried since. */
  long triedMs() {
    return triedMs;
  }
}
