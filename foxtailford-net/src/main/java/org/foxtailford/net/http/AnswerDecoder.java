package org.foxtailford.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the answers on one client connection, which has at most one request in flight. All
 * clients read answers through this decoder.
 *
 * <p>Tracks whether any byte of the current answer was received, and closes a connection that
 * receives bytes while no request is in flight. Runs on the connection's event loop.
 */
public final class AnswerDecoder extends HttpResponseDecoder {

  private static final int MAX_HEAD_BYTES = 64 << 10;

  private boolean answerExpected;
  private boolean answerStarted;
  private boolean headOnly;

  /** Creates a decoder for a new connection. */
  public AnswerDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_HEAD_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setUseRfc9112TransferEncoding(true));
  }

  /** Prepares for the answer to a request that is about to be sent. */
  public void expect(HttpMethod method) {
    answerExpected = true;
    answerStarted = false;
    headOnly = method.equals(HttpMethod.HEAD);
  }

  /** Marks the answer as ended; further bytes before the next request close the connection. */
  public void finish() {
    answerExpected = false;
  }

  /** Returns whether any byte of the expected answer was received. */
  boolean hasStarted() {
    return answerStarted;
  }

  /** Returns whether received bytes remain that are not part of the decoded answer. */
  public boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Returns whether the expected answer has no body because the request was a HEAD. */
  boolean isHeadOnly() {
    return headOnly;
  }

  /** Returns whether an answer ends with its connection, since its head says nothing else. */
  public boolean endsWithConnection(HttpResponse head) {
    return !isFramed(head) && !isContentAlwaysEmpty(head);
  }

  /** Returns whether a head states a length or chunks. */
  public static boolean isFramed(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (!answerExpected) {
      ReferenceCountUtil.release(message);
      ctx.close();
      return;
    }
    answerStarted = true;
    super.channelRead(ctx, message);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headOnly || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
