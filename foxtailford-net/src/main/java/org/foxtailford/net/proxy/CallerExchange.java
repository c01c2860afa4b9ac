package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailford.core.util.Assert;

/**
 * A caller's request and its answer.
 *
 * <p>A small request body is buffered so that it can be retried on another upstream; a larger one
 * is streamed to the listener. The answer to a pipelined request is queued here until all earlier
 * answers are complete. Confined to the connection's event loop.
 */
public final class CallerExchange {

  /** Receives the events of an exchange. The default methods ignore the event. */
  public interface Listener {

    /** Called when the body is complete, or too large to buffer so that it must be streamed. */
    default void onBodyReady() {}

    /** Called with each part of a streamed body; the listener must release the part. */
    default void onBodyPart(BodyPart part) {
      part.release();
    }

    /** Called when the caller's connection closes before the answer has ended. */
    default void onCallerGone() {}

    /** Called when more of the answer can be written. */
    default void onWritable() {}

    /**
     * Called when the rest of the body can't be read, which ends the request.
     *
     * @param status HTTP status code for the answer
     * @param reason what is wrong with the body
     * @return whether the listener has answered; it must if a part of the body was passed on, since
     *     the request may then have run
     */
    default boolean onUnreadable(int status, String reason) {
      return false;
    }
  }

  private final CallerConnection connection;
  private final HttpRequest request;
  private final long arrivedMs;
  private final long earliestArrivalMs;
  private final Deque<QueuedPart> queued = new ArrayDeque<>();
  private final RequestBody body;
  private Listener listener = new Listener() {};
  private boolean bodyReceived;
  private boolean bodyStreaming;
  private boolean bodyPaused;
  private boolean answerStarted;
  private boolean answerEnded;
  private boolean closesConnection;
  private boolean answeredAlone;
  private boolean callerGone;
  private boolean started;
  private long receivedBytes;
  private long queuedBytes;

  /** Part of an answer behind earlier ones, and the bytes that it counts for. */
  private record QueuedPart(Object message, int bytes) {}

  CallerExchange(
      CallerConnection connection,
      HttpRequest request,
      RequestBody body,
      long arrivedMs,
      long earliestArrivalMs) {
    this.connection = connection;
    this.body = body;
    this.request = request;
    this.arrivedMs = arrivedMs;
    this.earliestArrivalMs = earliestArrivalMs;
    this.closesConnection = !HttpUtil.isKeepAlive(request);
  }

  /** Returns the HTTP method. */
  public HttpMethod method() {
    return request.method();
  }

  /** Returns the request target, that is path and query, as received. */
  public String uri() {
    return request.uri();
  }

  /** Returns the path without the query. */
  public String path() {
    int query = request.uri().indexOf('?');
    return query < 0 ? request.uri() : request.uri().substring(0, query);
  }

  /** Returns the header fields as received. */
  public HttpHeaders headers() {
    return request.headers();
  }

  /** Returns the time at which the request head was read, in milliseconds of the clock. */
  public long arrivedMs() {
    return arrivedMs;
  }

  /**
   * Returns the earliest time at which the request head can have arrived, in milliseconds of the
   * clock: before it was read, if the event loop was late.
   */
  public long earliestArrivalMs() {
    return earliestArrivalMs;
  }

  /**
   * Reads what the caller's connection has, and returns whether the caller has closed it. To be
   * asked at each send: the end may lie behind a request that was just read. The listener is told
   * of it later.
   */
  public boolean hasCallerLeft() {
    return callerGone || connection.hasCallerLeft();
  }

  /** Replaces the listener; events that have already occurred are not repeated. */
  public void setListener(Listener newListener) {
    listener = Assert.notNull(newListener, "newListener");
  }

  /** Returns whether the last byte of the request body has been received, buffered or not. */
  public boolean isBodyReceived() {
    return bodyReceived;
  }

  /**
   * Returns whether the buffer has the whole body, so that the request can be sent any number of
   * times. A body that was streamed is received at some time, but never whole in the buffer.
   */
  public boolean isBodyWhole() {
    return bodyReceived && body.readableBytes() == receivedBytes;
  }

  /** Returns whether the caller waits for an interim answer before it sends its body. */
  boolean expectsContinue() {
    return !bodyReceived && receivedBytes == 0 && HttpUtil.is100ContinueExpected(request);
  }

  /** Returns the buffered part of the body; the caller of this method must release it. */
  public BodyPart bufferedBody() {
    return new BodyPart(body.retained(), 0, isBodyWhole());
  }

  /** Returns the number of bytes of the body that were received, buffered or not. */
  public long receivedBytes() {
    return receivedBytes;
  }

  /** Returns the length of the body in bytes, as stated or received; empty if not known yet. */
  public OptionalLong bodyLength() {
    if (hasStatedLength()) {
      return OptionalLong.of(HttpUtil.getContentLength(request, 0L));
    }
    return bodyReceived ? OptionalLong.of(receivedBytes) : OptionalLong.empty();
  }

  /** Returns whether the header states the length of the body. */
  public boolean hasStatedLength() {
    return HttpUtil.isContentLengthSet(request);
  }

  /** Returns the stated length of the body, or the bytes buffered if it states none. */
  public long bodyBytes() {
    return Math.max(bodyLength().orElse(0), body.readableBytes());
  }

  /** Stops buffering: passes the rest of the body to the listener, and resumes reading. */
  public void streamBody() {
    bodyStreaming = true;
    connection.updateReading();
  }

  /** Pauses or resumes the reading of a streamed body. */
  public void pauseBody(boolean pause) {
    bodyPaused = pause;
    connection.updateReading();
  }

  /** Returns whether the caller is still connected and the answer has not ended. */
  public boolean isOpen() {
    return !callerGone && !answerEnded;
  }

  /** Returns whether the head of the answer has been written or queued. */
  public boolean isAnswerStarted() {
    return answerStarted;
  }

  /** Returns whether more of the answer can be written without exceeding the buffers. */
  public boolean isWritable() {
    return connection.isWritable()
        && (isFirst() || queuedBytes < CallerConnection.MAX_QUEUED_ANSWER_BYTES);
  }

  /** Makes the connection close after this answer. */
  public void closeAfterAnswer() {
    closesConnection = true;
  }

  /**
   * Keeps requests behind this one from being started until it is answered, since its answer is
   * long: if that breaks off, the connection ends.
   */
  public void answerAlone() {
    answeredAlone = true;
  }

  /**
   * Starts the answer. Hop-by-hop header fields are removed, and set anew for this connection.
   *
   * @param status HTTP status code
   * @param headers end-to-end header fields
   * @param length length of the body in bytes; empty if unknown
   * @throws IllegalArgumentException if the answer has already started
   */
  public void begin(int status, HttpHeaders headers, Optional<Long> length) {
    Assert.isTrue(!answerStarted, "the answer has already started");
    if (callerGone) {
      return;
    }
    answerStarted = true;
    DefaultHttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    head.headers().set(headers);
    HopByHopHeaders.removeFrom(head.headers());
    boolean bodyless = status == 204 || status == 304 || request.method().equals(HttpMethod.HEAD);
    if (length.isPresent()) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length.get());
    } else if (!bodyless) {
      head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      if (request.protocolVersion().isKeepAliveDefault()) {
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      } else {
        closesConnection = true;
      }
    }
    closesConnection = closesConnection || !bodyReceived;
    if (closesConnection || connection.isLastAnswerBeforeClose(this)) {
      closesConnection = true;
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    write(head, 0);
  }

  /** Writes a part of the answer's body and releases it. */
  public void write(ByteBuf part) {
    if (callerGone || request.method().equals(HttpMethod.HEAD) || !part.isReadable()) {
      part.release();
    } else {
      write(new DefaultHttpContent(part), connection.recordUnsent(part.readableBytes()));
    }
  }

  /** Completes the answer. */
  public void end() {
    if (callerGone) {
      return;
    }
    answerEnded = true;
    write(LastHttpContent.EMPTY_LAST_CONTENT, 0);
    connection.onAnswerEnded();
  }

  /** Writes a complete answer and releases its content. */
  public void answer(int status, HttpHeaders headers, ByteBuf content) {
    begin(status, headers, Optional.of((long) content.readableBytes()));
    write(content);
    end();
  }

  /**
   * Takes back an answer of which nothing has been written yet, since earlier ones are incomplete.
   * Another answer may then be started.
   *
   * @return false if a part of the answer may have reached the caller
   */
  public boolean tryTakeBackAnswer() {
    if (callerGone || answerEnded || isFirst()) {
      return false;
    }
    answerStarted = false;
    releaseQueued();
    return true;
  }

  /**
   * Closes the connection without completing the answer, so that the caller sees it cut off.
   * Earlier answers are completed before.
   */
  public void abort() {
    if (callerGone) {
      return;
    }
    answerEnded = true;
    if (isFirst()) {
      connection.abort();
    } else {
      closesConnection = true;
      releaseQueued();
    }
  }

  private void releaseQueued() {
    queued.forEach(part -> ReferenceCountUtil.release(part.message()));
    queued.clear();
    connection.forgetUnsent(queuedBytes);
    queuedBytes = 0;
  }

  private void write(Object message, int bytes) {
    if (isFirst()) {
      connection.write(message, bytes);
    } else {
      queued.add(new QueuedPart(message, bytes));
      queuedBytes += bytes;
    }
  }

  private boolean isFirst() {
    return connection.isFirst(this);
  }

  boolean closesConnection() {
    return closesConnection;
  }

  /**
   * Returns whether the connection closes with the answer, or may have to: an answer to HTTP/1.0
   * without a known length ends with the connection, and one that is being sent may break off.
   */
  boolean mayEndConnection() {
    return closesConnection
        || answeredAlone
        || answerStarted && !answerEnded
        || !request.protocolVersion().isKeepAliveDefault();
  }

  boolean isAnswerEnded() {
    return answerEnded;
  }

  /** Writes what was queued while earlier answers were incomplete. */
  void onBecameFirst() {
    while (!queued.isEmpty()) {
      QueuedPart part = queued.poll();
      connection.write(part.message(), part.bytes());
    }
    queuedBytes = 0;
    if (!answerEnded) {
      listener.onWritable();
    }
  }

  boolean isStarted() {
    return started;
  }

  void markStarted() {
    started = true;
  }

  /** Returns whether the rest of the body is not read now; what nobody waits for is read on. */
  boolean isBodyHeldBack() {
    return isBodyBufferFull() || bodyPaused && !answerEnded || !started;
  }

  /** Returns whether reading is paused until the listener streams the rest of the body. */
  boolean isBodyBufferFull() {
    return !bodyReceived
        && !bodyStreaming
        && body.readableBytes() >= CallerConnection.MAX_BUFFERED_BODY_BYTES;
  }

  /** Reserves space for the body; returns false if the budget of all bodies has no room. */
  boolean tryReserveBody() {
    boolean chunked = HttpUtil.isTransferEncodingChunked(request);
    return body.tryReserve(chunked ? -1 : HttpUtil.getContentLength(request, 0L));
  }

  /** Adds a part of the body; returns false if the budget of all bodies has no room. */
  boolean tryAddBody(ByteBuf part, boolean last) {
    boolean added = true;
    long offset = receivedBytes;
    receivedBytes += part.readableBytes();
    if (answerEnded || callerGone) {
      part.release();
    } else if (bodyStreaming) {
      bodyReceived = bodyReceived || last;
      listener.onBodyPart(new BodyPart(part, offset, last));
    } else {
      added = body.tryAdd(part);
    }
    bodyReceived = bodyReceived || last && added;
    return added;
  }

  boolean isBodyReady() {
    return bodyReceived || bodyStreaming || isBodyBufferFull();
  }

  void fireBodyReady() {
    listener.onBodyReady();
  }

  boolean fireUnreadable(int status, String reason) {
    return listener.onUnreadable(status, reason);
  }

  void fireWritable() {
    listener.onWritable();
  }

  void fireCallerGone() {
    callerGone = true;
    queued.forEach(part -> ReferenceCountUtil.release(part.message()));
    queued.clear();
    if (!answerEnded) {
      listener.onCallerGone();
    }
    releaseBody();
  }

  /** Releases the buffered body; called when the exchange has ended. */
  void releaseBody() {
    body.release();
  }
}
