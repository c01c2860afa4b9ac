package org.foxtailford.net.proxy;

/** Takes callers' requests; called on the connection's event loop. */
public interface CallerHandler {

  /** Takes a request whose head is read. */
  void onRequest(CallerExchange exchange);

  /**
   * Chooses the answer to a request that can't be read or is over a limit; the connection ends with
   * it.
   */
  void onUnreadable(CallerExchange exchange, int status, String reason);
}
