package org.foxtailford.net.peer;

import org.foxtailford.core.util.Assert;

/**
 * When a link counts as lost.
 *
 * @param probeIntervalMs time without a message of its own after which an end sends a probe
 * @param readTimeoutMs time without a message from the other end after which a link is closed
 */
public record LinkTimeouts(long probeIntervalMs, long readTimeoutMs) {

  /** A probe each 500 ms; lost after 1,500 ms of silence. */
  public static final LinkTimeouts DEFAULT = new LinkTimeouts(500, 1500);

  public LinkTimeouts {
    Assert.isTrue(
        probeIntervalMs > 0 && readTimeoutMs > probeIntervalMs,
        "readTimeoutMs must be above probeIntervalMs");
  }
}
