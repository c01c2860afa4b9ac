package org.foxtailford.entry.control;

import org.foxtailford.schema.entry.ExchangeReply;
import org.foxtailford.schema.entry.ExchangeRequest;

/**
 * One kind of content of the exchange calls, such as token demands. All parts share the calls of a
 * VM. Methods are called on the event loop.
 */
public interface ExchangePart {

  /** Adds what this VM tells a coordinator, or asks it for, to a call that is about to be sent. */
  void addTo(ExchangeRequest.Builder request, ExchangePeer target);

  /**
   * Applies a coordinator's reply.
   *
   * @param sentMs when the request was sent, by the steady clock, in milliseconds
   */
  void onReply(ExchangeRequest request, ExchangeReply reply, ExchangePeer target, long sentMs);

  /** Handles a call without a usable reply. It is unknown whether the coordinator processed it. */
  void onFailure(ExchangeRequest request, ExchangePeer target);

  /** Processes a request of an entry VM, possibly this one, and adds to the reply. */
  void answer(ExchangeRequest request, ExchangeReply.Builder reply);
}
