package org.foxtailford.net.http;

import org.foxtailford.schema.Endpoint;

/** Learns which start of an upstream a connection leads to. Implementations are thread-safe. */
@FunctionalInterface
public interface BootIdListener {

  /**
   * Notes the boot id of a connection, once for each connection and before work that needs it.
   *
   * @param endpoint where the connection leads
   * @param bootId boot id that the upstream gave
   */
  void onBootId(Endpoint endpoint, long bootId);
}
