package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
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
import org.foxtailford.core.util.Assert;

/**
 * One request of a caller and its answer.
 *
 * <p>The body is kept while it is small, so that it can be sent to a second upstream; a longer one
 * is handed over piece by piece. Answers of requests that were sent behind others wait here for
 * their turn. Used on the connection's event loop only.
 */
public final class CallerExchange {

  /** Told of what happens to a request; all methods do nothing unless overridden. */
  public interface Listener {

    /** The whole body is there, or so much of it that the rest must be taken piece by piece. */
    default void onBodyReady() {}

    /** A further piece of a long body came; the listener owns it. */
    default void onBodyPart(ByteBuf part, boolean last) {
      part.release();
    }

    /** The caller has closed the connection. */
    default void onCallerGone() {}

    /** The caller takes more of the answer again. */
    default void onWritable() {}
  }

  private final CallerConnection connection;
  private final HttpRequest request;
  private final long arrivedMs;
  private final Deque<Object> unsent = new ArrayDeque<>();
  private CompositeByteBuf body = Unpooled.compositeBuffer(64);
  private Listener listener = new Listener() {};
  private boolean bodyWhole;
  private boolean bodyHanded;
  private boolean begun;
  private boolean ended;
  private boolean closes;
  private boolean gone;
  private boolean started;
  private long unsentBytes;

  CallerExchange(CallerConnection connection, HttpRequest request, long arrivedMs) {
    this.connection = connection;
    this.request = request;
    this.arrivedMs = arrivedMs;
    this.closes = !HttpUtil.isKeepAlive(request);
  }

  /** Returns the method. */
  public HttpMethod method() {
    return request.method();
  }

  /** Returns path and query as received. */
  public String uri() {
    return request.uri();
  }

  /** Returns the path without query. */
  public String path() {
    int query = request.uri().indexOf('?');
    return query < 0 ? request.uri() : request.uri().substring(0, query);
  }

  /** Returns the header fields as received. */
  public HttpHeaders headers() {
    return request.headers();
  }

  /** Returns when the head was read, in milliseconds. */
  public long arrivedMs() {
    return arrivedMs;
  }

  /** Replaces the listener. */
  public void setListener(Listener newListener) {
    listener = Assert.notNull(newListener, "newListener");
  }

  /** Returns whether the whole body is there. */
  public boolean isBodyComplete() {
    return bodyWhole;
  }

  /** Returns the kept part of the body, to be released by the caller of this method. */
  public ByteBuf retainedBody() {
    return body.retainedDuplicate();
  }

  /** Hands the rest of a long body over to the listener, and lets it flow. */
  public void streamBody() {
    bodyHanded = true;
    connection.updateReading();
  }

  /** Pauses or continues the reading of a long body. */
  public void pauseBody(boolean pause) {
    connection.pauseBody(pause);
  }

  /** Returns whether the caller is still there and the answer has not ended. */
  public boolean isOpen() {
    return !gone && !ended;
  }

  /** Returns whether the answer has begun. */
  public boolean isAnswerStarted() {
    return begun;
  }

  /** Returns whether more of the answer is welcome. */
  public boolean isWritable() {
    return isFirst() ? connection.isWritable() : unsentBytes < CallerConnection.UNSENT_BYTES;
  }

  /** Ends the connection after this answer. */
  public void closeAfter() {
    closes = true;
  }

  /**
   * Begins the answer; the fields that concern the connection are set here.
   *
   * @param length length of the body; empty if it is not known
   */
  public void begin(int status, HttpHeaders headers, Optional<Long> length) {
    Assert.isTrue(!begun, "the answer has begun already");
    if (gone) {
      return;
    }
    begun = true;
    DefaultHttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    head.headers().set(headers);
    HopByHopHeaders.removeFrom(head.headers());
    boolean bodyless = status == 204 || status == 304;
    if (length.isPresent()) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length.get());
    } else if (!bodyless) {
      head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      if (request.protocolVersion().isKeepAliveDefault()) {
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      } else {
        closes = true;
      }
    }
    closes = closes || !bodyWhole;
    if (closes || connection.isLastAnswer(this)) {
      closes = true;
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    write(head, 0);
  }

  /** Writes a piece of the answer, which is released. */
  public void write(ByteBuf part) {
    if (gone || request.method().equals(HttpMethod.HEAD)) {
      part.release();
    } else {
      write(new DefaultHttpContent(part), part.readableBytes());
    }
  }

  /** Ends the answer. */
  public void end() {
    if (gone) {
      return;
    }
    ended = true;
    write(LastHttpContent.EMPTY_LAST_CONTENT, 0);
    connection.onEnded();
  }

  /** Answers in one piece. */
  public void answer(int status, HttpHeaders headers, ByteBuf content) {
    begin(status, headers, Optional.of((long) content.readableBytes()));
    write(content);
    end();
  }

  /** Ends the connection without the rest of the answer. */
  public void abort() {
    if (!gone) {
      ended = true;
      connection.abort();
    }
  }

  private void write(Object message, int bytes) {
    if (isFirst()) {
      connection.write(message);
    } else {
      unsent.add(message);
      unsentBytes += bytes;
    }
  }

  private boolean isFirst() {
    return connection.isFirst(this);
  }

  boolean closes() {
    return closes;
  }

  boolean isEnded() {
    return ended;
  }

  /** Writes what waited for this answer's turn. */
  void onTurn() {
    while (!unsent.isEmpty()) {
      connection.write(unsent.poll());
    }
    unsentBytes = 0;
    if (!ended) {
      listener.onWritable();
    }
  }

  boolean isStarted() {
    return started;
  }

  void markStarted() {
    started = true;
  }

  /** Returns whether the rest of the body waits until the listener takes it. */
  boolean isBodyHeldBack() {
    return !bodyWhole && !bodyHanded && body.readableBytes() >= CallerConnection.KEPT_BODY_BYTES;
  }

  void addBody(ByteBuf part, boolean last) {
    bodyWhole = bodyWhole || last;
    if (ended || gone) {
      part.release();
    } else if (bodyHanded) {
      listener.onBodyPart(part, last);
    } else {
      body.addComponent(true, part);
    }
  }

  boolean isBodyReady() {
    return bodyWhole || bodyHanded || isBodyHeldBack();
  }

  void fireBodyReady() {
    listener.onBodyReady();
  }

  void fireWritable() {
    listener.onWritable();
  }

  void fireGone() {
    gone = true;
    unsent.forEach(ReferenceCountUtil::release);
    unsent.clear();
    if (!ended) {
      listener.onCallerGone();
    }
    releaseBody();
  }

  /** Releases the kept body; done when the exchange is over. */
  void releaseBody() {
    if (body.refCnt() > 0) {
      body.release();
    }
  }
}
