package org.foxtailford.net.proxy;

import java.util.HashSet;
import java.util.Set;

/**
 * Connections on which attempts of one request were sent; none of them carries another one.
 *
 * <p>All attempts of a request have its id. A second answer to an earlier attempt, which may arrive
 * when the next answer on that connection is due, would be taken for the answer to a later attempt.
 * Confined to the event loop.
 */
public final class UsedConnections {

  private final Set<UpstreamConnection> used = new HashSet<>();

  /** Creates an empty set, for a request that has not been sent. */
  public UsedConnections() {}

  void add(UpstreamConnection connection) {
    used.add(connection);
  }

  boolean contains(UpstreamConnection connection) {
    return used.contains(connection);
  }
}
