package org.foxtailford.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Set;

/**
 * Decodes the answers on one client connection, which has at most one request in flight, and
 * rejects what is no answer in the protocol. All clients read answers through this decoder.
 *
 * <p>A head is passed on only when all of it was received and found sound; anything else becomes a
 * message whose {@link HttpMessage#decoderResult()} is a failure, and the rest of the connection is
 * discarded. Rejected are heads that {@link AnswerHeadScanner} rejects, bodies that two
 * implementations could frame differently, transfer codings other than chunked, several values of a
 * field that stands once, and a change of the protocol, for which no client asks.
 *
 * <p>Tracks whether any byte of the current answer was received, and closes a connection that
 * receives bytes while no request is in flight. Runs on the connection's event loop.
 */
public final class AnswerDecoder extends HttpResponseDecoder {

  private static final int SWITCHING_PROTOCOLS = 101;

  private final List<AsciiString> singleFields;
  private final AnswerHeadScanner scanner = new AnswerHeadScanner();
  private boolean answerExpected;
  private boolean answerStarted;
  private boolean headOnly;
  private boolean awaitsHead = true;
  private boolean broken;

  /**
   * Creates a decoder for a new connection.
   *
   * @param singleFields names of the fields of which an answer may have one value only
   */
  public AnswerDecoder(List<AsciiString> singleFields) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(AnswerHeadScanner.MAX_PART_BYTES)
            .setMaxHeaderSize(AnswerHeadScanner.MAX_PART_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setUseRfc9112TransferEncoding(true));
    this.singleFields = List.copyOf(singleFields);
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
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (!broken && awaitsHead) {
      try {
        awaitsHead = !scanner.scan(buffer);
      } catch (IllegalArgumentException | TooLongFrameException e) {
        reject(e, out);
      }
    }
    if (broken) {
      buffer.skipBytes(buffer.readableBytes());
    } else if (!awaitsHead) {
      super.decode(ctx, buffer, out);
      if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
        onEnd((LastHttpContent) out.get(out.size() - 1));
      }
    }
  }

  private void onEnd(LastHttpContent last) {
    broken = last.decoderResult().isFailure();
    awaitsHead = true;
    scanner.reset();
  }

  private void reject(Exception cause, List<Object> out) {
    HttpMessage invalid = createInvalidMessage();
    invalid.setDecoderResult(DecoderResult.failure(cause));
    out.add(invalid);
    broken = true;
  }

  @Override
  protected void decodeLast(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decodeLast(ctx, buffer, out);
    if (!broken && awaitsHead && scanner.hasStatusLine()) {
      reject(new IllegalArgumentException("the connection ended within the head"), out);
    }
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    HttpResponse response = (HttpResponse) super.createMessage(initialLine);
    if (response.status().code() == SWITCHING_PROTOCOLS) {
      throw new IllegalArgumentException("a change of the protocol that was not asked for");
    }
    return response;
  }

  /**
   * Returns whether a complete head is followed by no body.
   *
   * @throws IllegalArgumentException if the body is in a coding other than chunked, or a field that
   *     stands once has several values
   */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    HttpHeaders headers = message.headers();
    if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        && !isChunkedOnce(headers.getAll(HttpHeaderNames.TRANSFER_ENCODING))) {
      throw new IllegalArgumentException("a transfer coding other than chunked");
    }
    for (AsciiString name : singleFields) {
      List<String> values = headers.getAll(name);
      if (values.size() > 1 && Set.copyOf(values).size() > 1) {
        throw new IllegalArgumentException("several values of the field " + name);
      }
    }
    return headOnly || super.isContentAlwaysEmpty(message);
  }

  /** Returns whether lists of codings name chunked only, once; their empty elements are ignored. */
  private static boolean isChunkedOnce(List<String> lists) {
    int named = 0;
    for (String coding : String.join(",", lists).split(",")) {
      String name = coding.strip();
      if (!name.isEmpty() && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(name)) {
        return false;
      }
      named += name.isEmpty() ? 0 : 1;
    }
    return named == 1;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }

  /** Takes the name of a field up to a colon or blank; those after a body were not scanned. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int begin, int length) {
    AnswerHeadScanner.checkNameEnd(line[begin + length]);
    return super.splitHeaderName(line, begin, length);
  }
}
