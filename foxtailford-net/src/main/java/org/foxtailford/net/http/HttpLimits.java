package org.foxtailford.net.http;

/**
 * Size limits of requests and timeouts of server connections.
 *
 * @param maxHeaderBytes maximum size of the request line and of the header fields, each in bytes
 * @param maxBodyBytes maximum size of the body, in bytes
 * @param idleTimeoutMs maximum time without a request, in milliseconds
 * @param receiveTimeoutMs maximum time from the first to the last byte of a request, in
 *     milliseconds
 * @param writeTimeoutMs maximum time to write one answer, in milliseconds
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

  /** Creates limits with the default timeouts: 120 s idle, 20 s to receive, 20 s to write. */
  public HttpLimits(int maxHeaderBytes, int maxBodyBytes) {
    this(maxHeaderBytes, maxBodyBytes, IDLE_MS, RECEIVE_MS, WRITE_MS);
  }
}
