package org.foxtailford.net.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/** Decodes an upstream's answers. Bytes received while no request is open close the connection. */
final class UpstreamAnswerDecoder extends HttpResponseDecoder {

  private static final int MAX_HEAD_BYTES = 64 << 10;

  private boolean answerExpected;
  private boolean headRequest;

  UpstreamAnswerDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_HEAD_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setUseRfc9112TransferEncoding(true));
  }

  void expectAnswer(HttpMethod method) {
    answerExpected = true;
    headRequest = method.equals(HttpMethod.HEAD);
  }

  void finish() {
    answerExpected = false;
  }

  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (answerExpected) {
      super.channelRead(ctx, message);
    } else {
      ReferenceCountUtil.release(message);
      ctx.close();
    }
  }

  /** Returns whether an answer ends with its connection, since its head says nothing else. */
  boolean endsWithConnection(HttpResponse head) {
    return !isFramed(head) && !isContentAlwaysEmpty(head);
  }

  static boolean isFramed(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequest || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
