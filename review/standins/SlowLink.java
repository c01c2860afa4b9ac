import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A link to an address that passes requests on at once and answers after a delay. */
final class SlowLink implements AutoCloseable {

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private final int target;
  private final long delayMs;
  private volatile long firstUseNanos;

  SlowLink(int target, long delayMs) throws IOException {
    this.target = target;
    this.delayMs = delayMs;
    Thread thread = new Thread(this::accept, "link to " + target);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns when the link was first used since the last call; 0 if it was not. */
  long takeFirstUseNanos() {
    long first = firstUseNanos;
    firstUseNanos = 0;
    return first;
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listener.accept();
        if (firstUseNanos == 0) {
          firstUseNanos = System.nanoTime();
        }
        Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        start(() -> copy(near, far, 0));
        start(() -> copy(far, near, delayMs));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    thread.start();
  }

  private void copy(Socket from, Socket to, long byMs) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[64 << 10];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        byte[] part = Arrays.copyOf(buffer, read);
        if (byMs == 0) {
          out.write(part);
        } else {
          timers.schedule(() -> write(out, part), byMs, TimeUnit.MILLISECONDS);
        }
      }
      timers.schedule(() -> close(to), byMs, TimeUnit.MILLISECONDS);
    } catch (IOException | RejectedExecutionException e) { // the latter once the link is closed
      close(from);
      close(to);
    }
  }

  private static void write(OutputStream out, byte[] part) {
    try {
      out.write(part);
    } catch (IOException e) {
      // the receiver has closed the connection
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // closed already
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    timers.shutdownNow();
  }
}
