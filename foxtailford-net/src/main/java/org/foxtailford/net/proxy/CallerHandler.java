package org.foxtailford.net.proxy;

/** Handles callers' requests. Called on the connection's event loop. */
public interface CallerHandler {

  /** Handles a request once its head has been read; the body may still be incomplete. */
  void onRequest(CallerExchange exchange);

  /**
   * Answers a request that is malformed, exceeds a limit or was not received in time. The
   * connection closes after the answer.
   *
   * @param status HTTP status code for the answer
   * @param reason what is wrong with the request
   */
  void onUnreadable(CallerExchange exchange, int status, String reason);
}
