package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Told of an upstream's answer; called on the event loop. */
public interface UpstreamListener {

  /** The connection is there and the request goes out. */
  void onSent();

  /** The head of the answer came. */
  void onHead(HttpResponse head);

  /** A piece of the body came; the listener owns it. */
  void onContent(ByteBuf part);

  /** The answer came to its end. */
  void onEnd();

  /** There will be no (further) answer; nothing follows. */
  void onFailure(UpstreamFailure failure, String reason);

  /** The upstream takes more of the request again. */
  void onWritable();
}
