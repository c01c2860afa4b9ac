package org.foxtailford.net.peer;

import org.foxtailford.core.util.Assert;

/**
 * When a link counts as lost.
 *
 * @param probeMs time without a message of its own after which an end sends a probe
 * @param silentMs time without a message from the other end after which a link is closed
 */
public record LinkTimes(long probeMs, long silentMs) {

  /** A probe each 500 ms; lost after 1,500 ms of silence. */
  public static final LinkTimes DEFAULT = new LinkTimes(500, 1500);

  public LinkTimes {
    Assert.isTrue(probeMs > 0 && silentMs > probeMs, "silentMs must be above probeMs");
  }
}
