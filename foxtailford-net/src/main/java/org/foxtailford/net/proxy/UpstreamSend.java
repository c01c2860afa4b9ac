package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * A single transmission of a request to an upstream. Once its answer has ended or failed, it is
 * detached from the connection, which may carry another request by then. Confined to the event
 * loop.
 */
public final class UpstreamSend {

  private final UpstreamRequest request;
  private final UpstreamListener listener;
  private @Nullable UpstreamConnection connection;
  private final AnnouncedBody body;
  private final Deque<BodyPart> queuedParts = new ArrayDeque<>();
  private boolean sent;
  private boolean finished;

  UpstreamSend(UpstreamRequest request, UpstreamListener listener) {
    this.request = request;
    this.listener = listener;
    this.body = new AnnouncedBody(request.bodyLength());
  }

  void start(UpstreamConnection newConnection) {
    connection = newConnection;
    sent = true;
    newConnection.send(request, body, new ForwardingListener());
    while (!queuedParts.isEmpty() && connection != null) {
      newConnection.sendBody(queuedParts.poll());
    }
    releaseQueuedParts();
  }

  private void releaseQueuedParts() {
    queuedParts.forEach(BodyPart::release);
    queuedParts.clear();
  }

  void fail(UpstreamFailure failure, String reason) {
    request.body().release();
    releaseQueuedParts();
    if (!finished) {
      finished = true;
      listener.onFailure(failure, reason);
    }
  }

  /** Asks whether the request is still to be sent, and fails it if not. */
  boolean isWithheld() {
    Optional<UpstreamFailure> reason = request.gate().check(request.headers());
    reason.ifPresent(failure -> fail(failure, "withheld"));
    return reason.isPresent();
  }

  /** Releases the body if the request was abandoned before connecting; returns whether it was. */
  boolean releaseIfAbandoned() {
    if (finished) {
      request.body().release();
    }
    return finished;
  }

  /** Returns whether any byte of the request may have been sent. */
  public boolean isSent() {
    return sent;
  }

  /**
   * Sends a further part of the body and releases it. Parts are queued until a connection is
   * available, and dropped once the request has ended.
   */
  public void sendBody(BodyPart part) {
    if (connection == null && !sent && !finished) {
      queuedParts.add(part);
    } else if (connection == null) {
      part.release();
    } else {
      connection.sendBody(part);
    }
  }

  /** Returns the announced length of the body in bytes; empty if it is sent in chunks. */
  public OptionalLong announcedBytes() {
    return body.length();
  }

  /** Returns the number of bytes of the body that were passed to the connection. */
  public long sentBytes() {
    return body.sentBytes();
  }

  /** Returns whether more of the body can be sent without exceeding the write buffer. */
  public boolean isWritable() {
    return connection != null && connection.isWritable();
  }

  /** Pauses or resumes the reading of the answer; without effect if there is no connection. */
  public void pauseAnswer(boolean pause) {
    if (connection != null) {
      connection.pauseAnswer(pause);
    }
  }

  /** Abandons the request and resets its connection; the listener receives no more events. */
  public void abandon() {
    finished = true;
    releaseQueuedParts();
    if (connection != null) {
      UpstreamConnection current = connection;
      connection = null;
      current.abandon();
    }
  }

  /** Forwards events to the listener and detaches the connection when the answer ends. */
  private final class ForwardingListener implements UpstreamListener {

    @Override
    public void onSent() {
      listener.onSent();
    }

    @Override
    public void onHead(HttpResponse head) {
      listener.onHead(head);
    }

    @Override
    public void onContent(ByteBuf part) {
      listener.onContent(part);
    }

    @Override
    public void onEnd() {
      finished = true;
      connection = null;
      listener.onEnd();
    }

    @Override
    public void onFailure(UpstreamFailure failure, String reason) {
      finished = true;
      connection = null;
      listener.onFailure(failure, reason);
    }

    @Override
    public void onWritable() {
      listener.onWritable();
    }
  }
}
