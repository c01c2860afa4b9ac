package org.foxtailford.net.peer;

import org.foxtailford.core.util.Assert;

/**
 * Timeouts by which a lost peer link is detected.
 *
 * @param probeIntervalMs time without an outgoing message after which a probe is sent, in
 *     milliseconds
 * @param readTimeoutMs time without an incoming message after which the link is closed, in
 *     milliseconds
 */
public record LinkTimeouts(long probeIntervalMs, long readTimeoutMs) {

  /** Probes after 500 ms and closes after 1,500 ms, that is after three missing probes. */
  public static final LinkTimeouts DEFAULT = new LinkTimeouts(500, 1500);

  public LinkTimeouts {
    Assert.isTrue(
        probeIntervalMs > 0 && readTimeoutMs > probeIntervalMs,
        "readTimeoutMs must be above probeIntervalMs");
  }
}
