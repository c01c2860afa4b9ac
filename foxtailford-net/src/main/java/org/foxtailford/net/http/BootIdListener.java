package org.foxtailford.net.http;

import org.foxtailford.schema.Endpoint;

/**
 * Receives the boot id of the upstream process at the other end of each connection. Implementations
 * are thread-safe.
 */
@FunctionalInterface
public interface BootIdListener {

  /**
   * Called with the boot id of a connection, before any request that requires this boot id is sent
   * on it. Called again only if a later answer carries another boot id.
   *
   * @param endpoint address of the upstream
   * @param bootId boot id that the upstream returned
   */
  void onBootId(Endpoint endpoint, long bootId);
}
