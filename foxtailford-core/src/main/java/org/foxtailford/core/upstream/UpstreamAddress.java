package org.foxtailford.core.upstream;

import org.foxtailford.core.util.Assert;

/**
 * Address at which an upstream listens.
 *
 * @param host IP address
 * @param port TCP port
 */
public record UpstreamAddress(String host, int port) {

  /** Validates the host and the port. */
  public UpstreamAddress {
    Assert.hasLength(host, "host");
    Assert.isTrue(port > 0 && port < 65536, "port must be between 1 and 65535");
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
