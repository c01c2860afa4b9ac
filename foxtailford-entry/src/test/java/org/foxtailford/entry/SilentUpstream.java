package org.foxtailford.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Upstream that takes requests and works on each until its connection ends, or it is told to
 * answer.
 */
final class SilentUpstream implements AutoCloseable {

  private static final String ID_FIELD = "Request-Id:";

  private final ServerSocket listener =
      new ServerSocket(0, 128, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
  private final List<Socket> working = new CopyOnWriteArrayList<>();
  private final List<Long> arrivedAtMs = new CopyOnWriteArrayList<>();
  private final List<String> arrivedIds = new CopyOnWriteArrayList<>();

  SilentUpstream() throws IOException {
    startDaemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of requests that it works on. */
  int working() {
    return working.size();
  }

  /** Returns when requests arrived, in Unix milliseconds. */
  List<Long> arrivedAtMs() {
    return List.copyOf(arrivedAtMs);
  }

  /** Returns the ids of requests that arrived. */
  List<String> arrivedIds() {
    return List.copyOf(arrivedIds);
  }

  /** Answers all requests that it works on. */
  void answerAll(String answer) throws IOException {
    for (Socket socket : working) {
      working.remove(socket); // what it reads from now on is another request
      socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        startDaemon(() -> work(socket));
      }
    } catch (IOException e) {
      return; // closed
    }
  }

  private void work(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      StringBuilder line = new StringBuilder();
      for (int read = in.read(); read >= 0; read = in.read()) {
        if (!working.contains(socket)) {
          working.add(socket);
          arrivedAtMs.add(System.currentTimeMillis());
        }
        line.append((char) read);
        if (read == '\n') {
          recordId(line.toString());
          line.setLength(0);
        }
      }
    } catch (IOException e) {
      return; // reset
    } finally {
      working.remove(socket);
    }
  }

  private void recordId(String line) {
    if (line.regionMatches(true, 0, ID_FIELD, 0, ID_FIELD.length())) {
      arrivedIds.add(line.substring(ID_FIELD.length()).strip());
    }
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "silent upstream");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : working) {
      socket.close();
    }
  }
}
