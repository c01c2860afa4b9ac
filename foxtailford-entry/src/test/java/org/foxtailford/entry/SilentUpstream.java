package org.foxtailford.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Upstream that takes requests and never answers. It works on each until its connection ends. */
final class SilentUpstream implements AutoCloseable {

  private final ServerSocket listener =
      new ServerSocket(0, 128, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
  private final List<Socket> working = new CopyOnWriteArrayList<>();
  private final List<Long> arrivedAtMs = new CopyOnWriteArrayList<>();

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
    boolean began = false;
    try (socket) {
      InputStream in = socket.getInputStream();
      while (in.read() >= 0) {
        if (!began) {
          began = true;
          working.add(socket);
          arrivedAtMs.add(System.currentTimeMillis());
        }
      }
    } catch (IOException e) {
      return; // reset
    } finally {
      working.remove(socket);
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
