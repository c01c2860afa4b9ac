package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.Deque;
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
  private final Deque<Part> queuedParts = new ArrayDeque<>();
  private boolean sent;
  private boolean finished;

  /** Part of a body that arrived before a connection was available. */
  private record Part(ByteBuf bytes, boolean last) {}

  UpstreamSend(UpstreamRequest request, UpstreamListener listener) {
    this.request = request;
    this.listener = listener;
  }

  void start(UpstreamConnection newConnection) {
    connection = newConnection;
    sent = true;
    newConnection.send(request, new ForwardingListener());
    while (!queuedParts.isEmpty() && connection != null) {
      Part part = queuedParts.poll();
      newConnection.sendBody(part.bytes(), part.last());
    }
  }

  private void releaseQueuedParts() {
    queuedParts.forEach(part -> part.bytes().release());
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
  public void sendBody(ByteBuf part, boolean last) {
    if (connection == null && !sent && !finished) {
      queuedParts.add(new Part(part, last));
    } else if (connection == null) {
      part.release();
    } else {
      connection.sendBody(part, last);
    }
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
