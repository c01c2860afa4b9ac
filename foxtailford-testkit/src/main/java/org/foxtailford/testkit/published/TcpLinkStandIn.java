package org.foxtailford.testkit.published;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailford.core.util.Assert;

/** Stand-in for one machine's link to one port of another machine, which can be cut. */
public final class TcpLinkStandIn implements AutoCloseable {

  /** What the link does. */
  public enum State {
    /** Carries everything. */
    SOUND,
    /** Carries nothing: open connections are silent, new ones hang. */
    SILENT,
    /** Open connections were reset, new ones are refused. */
    RESET,
    /** Open connections live on, new ones are refused. */
    REFUSING
  }

  private static final int POLL_MS = 10;

  /** Connections that may wait for a sound link; a VM opens dozens at once after a cut. */
  private static final int SOUND_BACKLOG = 128;

  /** Connections that fill the queue of a listener with a backlog of one, and some more. */
  private static final int FILLERS = 4;

  private final InetAddress loopback = InetAddress.getLoopbackAddress();
  private final int targetPort;
  private final int port;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile State state = State.SOUND;
  private volatile boolean open = true;

  /**
   * Creates a sound link.
   *
   * @param targetPort port on the loopback address
   */
  public TcpLinkStandIn(int targetPort) throws IOException {
    this.targetPort = targetPort;
    ServerSocket first = listen(0, SOUND_BACKLOG);
    this.port = first.getLocalPort();
    new Thread(() -> run(first), "link to " + targetPort).start();
  }

  /** Returns the port at which the link is entered. */
  public int port() {
    return port;
  }

  /** Changes what the link does. */
  public void setState(State newState) {
    state = Assert.notNull(newState, "newState");
  }

  private ServerSocket listen(int wantedPort, int backlog) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.setSoTimeout(POLL_MS);
    listener.bind(new InetSocketAddress(loopback, wantedPort), backlog);
    return listener;
  }

  private void run(ServerSocket first) {
    ServerSocket listener = first;
    try {
      while (open) {
        State current = state;
        if (current == State.SOUND) {
          listener = listener.isClosed() ? listen(port, SOUND_BACKLOG) : listener;
          accept(listener);
          continue;
        }
        listener.close();
        if (current == State.SILENT) {
          try (ServerSocket full = listen(port, 1)) {
            hang();
          }
        } else {
          refuse(current);
        }
      }
      listener.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept(ServerSocket listener) throws IOException {
    try {
      passOn(listener.accept());
    } catch (SocketTimeoutException e) {
      // no new connection
    }
  }

  /** Passes a connection on to the target, or resets it if the target takes none. */
  private void passOn(Socket from) {
    sockets.add(from);
    try {
      Socket to = new Socket(loopback, targetPort);
      sockets.add(to);
      new Thread(() -> pump(from, to)).start();
      new Thread(() -> pump(to, from)).start();
    } catch (IOException e) {
      close(from);
    }
  }

  /** Fills the listener's queue, so that the kernel ignores further connections. */
  private void hang() throws IOException, InterruptedException {
    List<Socket> fillers = new ArrayList<>();
    for (int i = 0; i < FILLERS; i++) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(new InetSocketAddress(loopback, port), POLL_MS);
      } catch (SocketTimeoutException e) {
        // the queue is full
      }
    }
    while (open && state == State.SILENT) {
      Thread.sleep(POLL_MS);
    }
    for (Socket filler : fillers) {
      filler.close();
    }
  }

  /** Refuses connections, and keeps others from taking the port meanwhile. */
  private void refuse(State refusing) throws IOException, InterruptedException {
    try (Socket holder = new Socket()) {
      holder.setReuseAddress(true);
      holder.bind(new InetSocketAddress(loopback, port));
      while (open && state == refusing) {
        if (refusing == State.RESET) {
          closeSockets();
        }
        Thread.sleep(POLL_MS);
      }
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[8 << 10];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        while (state == State.SILENT) {
          Thread.sleep(POLL_MS);
        }
        out.write(buffer, 0, read);
      }
    } catch (IOException e) {
      // either end has closed
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close(from);
      close(to);
    }
  }

  private void closeSockets() {
    sockets.forEach(this::close);
  }

  private void close(Socket socket) {
    sockets.remove(socket);
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // closed before
    }
  }

  @Override
  public void close() {
    open = false;
    state = State.RESET;
    closeSockets();
  }
}
