package org.foxtailford.core.route;

import org.foxtailford.core.util.Assert;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes maximum size of the request line and header fields together, in bytes
 * @param maxBodyBytes maximum body size, in bytes
 * @param headerTimeoutMs maximum time from the start of a request to the end of its header, in
 *     milliseconds
 * @param idleTimeoutMs maximum idle time of a connection between two requests, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Limits that apply until a configuration has been read. */
  public static final CallerLimits DEFAULT = new CallerLimits(16384, 67108864, 3000, 15000);

  /** Validates the fields. */
  public CallerLimits {
    Assert.isTrue(maxHeaderBytes > 0, "maxHeaderBytes must be positive");
    Assert.isTrue(maxBodyBytes >= 0, "maxBodyBytes must not be negative");
    Assert.isTrue(headerTimeoutMs > 0, "headerTimeoutMs must be positive");
    Assert.isTrue(idleTimeoutMs > 0, "idleTimeoutMs must be positive");
  }
}
