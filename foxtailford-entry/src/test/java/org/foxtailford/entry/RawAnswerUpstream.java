package org.foxtailford.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Upstream that answers requests with bytes of a test's choice and leaves it to the other side to
 * close the connection. It reads the head of each request, and its body once that was answered.
 */
final class RawAnswerUpstream implements AutoCloseable {

  /** Chooses the bytes of an answer, one char a byte. */
  @FunctionalInterface
  interface Answers {

    /** Returns the answer to a request, whose id is empty if it has none. */
    String answerTo(String requestId);
  }

  private final ServerSocket listener =
      new ServerSocket(0, 128, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Map<String, Socket> connections = new ConcurrentHashMap<>();
  private final Answers answers;

  RawAnswerUpstream(Answers answers) throws IOException {
    this.answers = answers;
    startDaemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns whether the connection on which a request arrived is open; false if none did. */
  boolean isConnectionOpen(String requestId) {
    Socket socket = connections.get(requestId);
    return socket != null && open.contains(socket);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        startDaemon(() -> serve(socket));
      }
    } catch (IOException e) {
      return; // closed
    }
  }

  private void serve(Socket socket) {
    open.add(socket);
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = socket.getInputStream();
      String head = readHead(in);
      while (!head.isEmpty()) {
        String id = field(head, "request-id");
        connections.put(id, socket);
        String answer = answers.answerTo(id);
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        skip(in, field(head, "content-length"));
        head = readHead(in);
      }
    } catch (IOException e) {
      return; // reset
    } finally {
      open.remove(socket);
    }
  }

  private static void skip(InputStream in, String length) throws IOException {
    in.skipNBytes(length.isEmpty() ? 0 : Long.parseLong(length));
  }

  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int read = in.read();
      if (read < 0) {
        return "";
      }
      head.write(read);
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  private static String field(String head, String name) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
        return line.substring(name.length() + 1).strip();
      }
    }
    return "";
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "raw answer upstream");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
