package org.foxtailford.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Upstream that sends most of each answer to GET at once and its end when it is told to. It works
 * on any other request until it is closed.
 */
final class TwoPartAnswerUpstream implements AutoCloseable {

  /** Bytes of an answer's body. */
  static final int BODY_BYTES = 48 << 10;

  private static final int END_BYTES = 100;

  private static final Pattern ID =
      Pattern.compile("^request-id: *(\\S+)", Pattern.CASE_INSENSITIVE | Pattern.MULTILINE);

  private static final byte[] BODY = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1);

  private final ServerSocket listener =
      new ServerSocket(0, 128, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
  private final CountDownLatch ends = new CountDownLatch(1);
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Set<String> workedOn = ConcurrentHashMap.newKeySet();

  TwoPartAnswerUpstream() throws IOException {
    startDaemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Sends the ends of all answers, and of later ones at once. */
  void sendEnds() {
    ends.countDown();
  }

  /** Returns the ids of the requests other than GET that have arrived. */
  Set<String> workedOn() {
    return Set.copyOf(workedOn);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        open.add(socket);
        startDaemon(() -> serve(socket));
      }
    } catch (IOException e) {
      return; // closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String head = readHead(socket.getInputStream());
      while (!head.isEmpty()) {
        Matcher id = ID.matcher(head);
        if (id.find()) {
          run(socket, head, id.group(1));
        }
        head = readHead(socket.getInputStream());
      }
    } catch (IOException e) {
      return; // reset
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run(Socket socket, String head, String id) throws IOException, InterruptedException {
    if (!head.startsWith("GET ")) {
      workedOn.add(id);
      return;
    }
    String answer =
        ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: whole\r\n"
                + "Content-Length: %d\r\n\r\n")
            .formatted(id, BODY_BYTES);
    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(BODY, 0, BODY_BYTES - END_BYTES);
    ends.await();
    socket.getOutputStream().write(BODY, 0, END_BYTES);
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

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "two part upstream");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    sendEnds();
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
