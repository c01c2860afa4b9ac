package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the events of a request sent to an upstream. Called on the event loop. */
public interface UpstreamListener {

  /** Called when a connection is available and the request head has been written to it. */
  void onSent();

  /** Called with the head of the answer. */
  void onHead(HttpResponse head);

  /** Called with each part of the answer's body; the listener must release the part. */
  void onContent(ByteBuf part);

  /** Called when the answer is complete; no event follows. */
  void onEnd();

  /** Called when the answer is missing or incomplete; no event follows. */
  void onFailure(UpstreamFailure failure, String reason);

  /** Called when more of the request body can be sent. */
  void onWritable();
}
