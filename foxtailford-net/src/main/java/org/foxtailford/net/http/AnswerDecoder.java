package org.foxtailford.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the answers of one client connection, which has at most one request in flight.
 *
 * <p>It notes whether any byte of the present answer came, and drops a connection on which bytes
 * come without a request.
 */
final class AnswerDecoder extends HttpResponseDecoder {

  private static final int MAX_HEAD_BYTES = 64 << 10;

  private boolean expecting;
  private boolean started;
  private boolean head;

  AnswerDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_HEAD_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setUseRfc9112TransferEncoding(true));
  }

  /** Expects the answer to a request that is about to be sent. */
  void expect(HttpMethod method) {
    expecting = true;
    started = false;
    head = method.equals(HttpMethod.HEAD);
  }

  /** Expects nothing more until the next request. */
  void finish() {
    expecting = false;
  }

  /** Tells whether any byte of the expected answer came. */
  boolean started() {
    return started;
  }

  /** Tells whether bytes are left that belong to no expected answer. */
  boolean hasLeftover() {
    return actualReadableBytes() > 0;
  }

  /** Tells whether the expected answer has a head only. */
  boolean isHead() {
    return head;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (!expecting) {
      ReferenceCountUtil.release(message);
      ctx.close();
      return;
    }
    started = true;
    super.channelRead(ctx, message);
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
