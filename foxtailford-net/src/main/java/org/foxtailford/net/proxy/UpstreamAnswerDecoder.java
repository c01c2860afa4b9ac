package org.foxtailford.net.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/** Decodes an upstream's answers; bytes that come without a request end the connection. */
final class UpstreamAnswerDecoder extends HttpResponseDecoder {

  private static final int MAX_HEAD_BYTES = 64 << 10;

  private boolean expecting;
  private boolean head;

  UpstreamAnswerDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_HEAD_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setUseRfc9112TransferEncoding(true));
  }

  void expect(HttpMethod method) {
    expecting = true;
    head = method.equals(HttpMethod.HEAD);
  }

  void finish() {
    expecting = false;
  }

  boolean hasLeftover() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (expecting) {
      super.channelRead(ctx, message);
    } else {
      ReferenceCountUtil.release(message);
      ctx.close();
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return head || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
