package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to an upstream. Once its answer has ended or failed, it no longer reaches
 * the connection, which may carry another request by then. Used on the event loop only.
 */
public final class UpstreamSend {

  private final UpstreamRequest request;
  private final UpstreamListener listener;
  private @Nullable UpstreamConnection connection;
  private final Deque<Part> early = new ArrayDeque<>();
  private boolean sent;
  private boolean over;

  /** Piece of a body that came before there was a connection. */
  private record Part(ByteBuf bytes, boolean last) {}

  UpstreamSend(UpstreamRequest request, UpstreamListener listener) {
    this.request = request;
    this.listener = listener;
  }

  void start(UpstreamConnection newConnection) {
    connection = newConnection;
    sent = true;
    newConnection.send(request, new Relay());
    while (!early.isEmpty() && connection != null) {
      Part part = early.poll();
      newConnection.sendBody(part.bytes(), part.last());
    }
  }

  private void releaseEarly() {
    early.forEach(part -> part.bytes().release());
    early.clear();
  }

  void fail(UpstreamFailure failure, String reason) {
    request.body().release();
    releaseEarly();
    if (!over) {
      over = true;
      listener.onFailure(failure, reason);
    }
  }

  /** Returns whether the request was given up before there was a connection. */
  boolean releaseIfAbandoned() {
    if (over) {
      request.body().release();
    }
    return over;
  }

  /** Returns whether a byte of the request may have left. */
  public boolean isSent() {
    return sent;
  }

  /** Sends a further piece of the body, which is released. */
  public void sendBody(ByteBuf part, boolean last) {
    if (connection == null && !sent && !over) {
      early.add(new Part(part, last));
    } else if (connection == null) {
      part.release();
    } else {
      connection.sendBody(part, last);
    }
  }

  /** Returns whether the upstream takes more of the body. */
  public boolean isWritable() {
    return connection != null && connection.isWritable();
  }

  /** Pauses or continues the reading of the answer. */
  public void pauseAnswer(boolean pause) {
    if (connection != null) {
      connection.pauseAnswer(pause);
    }
  }

  /** Gives the request up and ends its connection; the listener is told nothing more. */
  public void abandon() {
    over = true;
    releaseEarly();
    if (connection != null) {
      UpstreamConnection present = connection;
      connection = null;
      present.abandon();
    }
  }

  /** Passes on what the connection tells, until the answer is over. */
  private final class Relay implements UpstreamListener {

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
      over = true;
      connection = null;
      listener.onEnd();
    }

    @Override
    public void onFailure(UpstreamFailure failure, String reason) {
      over = true;
      connection = null;
      listener.onFailure(failure, reason);
    }

    @Override
    public void onWritable() {
      listener.onWritable();
    }
  }
}
