package org.foxtailford.net.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * Decides whether a request is still to be sent, at the moment of the send. A connection may be
 * established long after the request was planned.
 */
@FunctionalInterface
public interface SendGate {

  /** Lets every request pass. */
  SendGate OPEN = headers -> Optional.empty();

  /**
   * Completes the header fields that depend on the time of the send.
   *
   * @return why the request must not be sent; empty if it is to be sent now
   */
  Optional<UpstreamFailure> check(HttpHeaders headers);
}
