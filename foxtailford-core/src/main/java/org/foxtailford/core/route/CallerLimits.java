package org.foxtailford.core.route;

import org.foxtailford.core.util.Assert;

/**
 * Bounds of what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes largest request line and header fields together, in bytes
 * @param maxBodyBytes largest body, in bytes
 * @param headerTimeoutMs longest time for the header of a begun request, in milliseconds
 * @param idleTimeoutMs longest time between two requests of a connection, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Limits until a configuration is known. */
  public static final CallerLimits DEFAULT = new CallerLimits(16384, 67108864, 3000, 15000);

  /** Checks the fields. */
  public CallerLimits {
    Assert.isTrue(maxHeaderBytes > 0, "maxHeaderBytes must be positive");
    Assert.isTrue(maxBodyBytes >= 0, "maxBodyBytes must not be negative");
    Assert.isTrue(headerTimeoutMs > 0, "headerTimeoutMs must be positive");
    Assert.isTrue(idleTimeoutMs > 0, "idleTimeoutMs must be positive");
  }
}
