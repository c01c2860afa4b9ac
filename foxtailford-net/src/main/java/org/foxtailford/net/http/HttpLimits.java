package org.foxtailford.net.http;

/**
 * Largest messages that are accepted, and the longest times of a connection's states.
 *
 * @param maxHeaderBytes largest head, in bytes
 * @param maxBodyBytes largest body, in bytes
 * @param idleTimeoutMs longest time without a request, in milliseconds
 * @param receiveTimeoutMs longest time from the first to the last byte of a request, in
 *     milliseconds
 * @param writeTimeoutMs longest time that writing one answer may take, in milliseconds
 */
public record HttpLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    long idleTimeoutMs,
    long receiveTimeoutMs,
    long writeTimeoutMs) {

  private static final long IDLE_MS = 120_000;
  private static final long RECEIVE_MS = 20_000;
  private static final long WRITE_MS = 20_000;

  /** Creates limits with the usual times. */
  public HttpLimits(int maxHeaderBytes, int maxBodyBytes) {
    this(maxHeaderBytes, maxBodyBytes, IDLE_MS, RECEIVE_MS, WRITE_MS);
  }
}
