package org.foxtailford.net.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailford.schema.Endpoint;

/** Server on a plain socket that sends arbitrary bytes, as scripted by a test. */
final class RawServer implements AutoCloseable {

  /** Behaviour of the server on each connection. */
  @FunctionalInterface
  interface Script {
    void run(Connection connection) throws IOException;
  }

  /**
   * An accepted connection.
   *
   * @param number sequence number of the connection, from 1
   * @param socket accepted socket
   */
  record Connection(int number, Socket socket) {

    /** Reads a request without a body; returns its head, or an empty string at the end. */
    String readRequest() throws IOException {
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int b = in.read();
        if (b < 0) {
          return "";
        }
        head.append((char) b);
      }
      return head.toString();
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Waits until the client closes or resets the connection. */
    void awaitEnd() throws IOException {
      try {
        while (socket.getInputStream().read() >= 0) {
          continue;
        }
      } catch (SocketException e) {
        return; // a reset counts as a close
      }
    }

    /** Writes; ignores a connection that the client has reset. */
    void writeUnlessReset(String text) throws IOException {
      try {
        write(text);
      } catch (SocketException e) {
        return; // the client receives nothing after a reset
      }
    }
  }

  private final ServerSocket listener;
  private final Script script;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final AtomicInteger acceptedCount = new AtomicInteger();

  RawServer(Script script) {
    this.script = script;
    try {
      listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    start(this::accept);
  }

  Endpoint endpoint() {
    return Endpoint.newBuilder().setHost("127.0.0.1").setPort(listener.getLocalPort()).build();
  }

  int acceptedCount() {
    return acceptedCount.get();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        sockets.add(socket);
        Connection connection = new Connection(acceptedCount.incrementAndGet(), socket);
        start(() -> serve(connection));
      }
    } catch (IOException e) {
      return;
    }
  }

  private void serve(Connection connection) {
    try (Socket socket = connection.socket()) {
      script.run(connection);
    } catch (IOException e) {
      return;
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() {
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
