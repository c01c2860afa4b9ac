import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers send HEAD and GET by turns on kept connections, while instances give some answers no
 * length. Each answer must be one in the protocol, and belong to its request.
 */
final class HeadUnframed extends Case {

  private static final int INSTANCES = 4;
  private static final int CONSUMERS = 8;
  private static final long PLAY_MS = 8000;
  private static final long TROUBLE_MS = 5000;
  private static final double FAULTY_SHARE = 0.5;
  private static final double UNFRAMED_SHARE = 0.05;

  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unframed = new AtomicInteger();
  private final AtomicInteger mixed = new AtomicInteger();
  private volatile long troubleUntilNanos;

  public static void main(String[] arguments) {
    run(new HeadUnframed(), arguments);
  }

  private final class Menu extends InstanceStandIn {
    private final boolean faulty;
    private int seen;

    Menu(int number, boolean faulty) throws IOException {
      super("i-menu" + number, "menu-svc", "z" + number % 2, 6, false, record);
      this.faulty = faulty;
    }

    @Override
    long workMs(Http request) {
      return 20;
    }

    private synchronized boolean leavesOutLength() {
      if (!faulty || System.nanoTime() >= troubleUntilNanos) {
        return false;
      }
      seen++;
      return (int) (seen * UNFRAMED_SHARE) > (int) ((seen - 1) * UNFRAMED_SHARE);
    }

    @Override
    void answer(Http request, Connection connection, byte[] head, byte[] body)
        throws IOException {
      boolean headOnly = request.method().equals("HEAD");
      if (!leavesOutLength()) {
        write(connection, head, headOnly ? new byte[0] : body);
        return;
      }
      unframed.incrementAndGet();
      log.line("%s: answers %s %s without a length", id, request.method(),
          request.header("Request-Id", ""));
      String text = new String(head, StandardCharsets.ISO_8859_1)
          .replaceAll("Content-Length: \\d+\r\n", "Connection: close\r\n");
      write(connection, text.getBytes(StandardCharsets.ISO_8859_1),
          headOnly ? new byte[0] : body);
      connection.socket.close();
    }
  }

  @Override
  String prepare(Deployment deployment) throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      deployment.add(new Menu(i, i < FAULTY_SHARE * INSTANCES));
    }
    deployment.addVm("edge-1", "z0");
    return Deployment.config(
        7,
        "[\"r-menu\",\"menu.example\",\"/menu/\",\"safe\",\"1000ms\",\"500ms\",2,"
            + "\"menu-svc\",2,null]",
        Deployment.service("menu-svc", false));
  }

  @Override
  boolean play(Deployment deployment) throws Exception {
    troubleUntilNanos = trouble ? System.nanoTime() + TROUBLE_MS * 1_000_000 : 0;
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      int number = i;
      Thread consumer = new Thread(() -> consume(deployment, number));
      consumer.start();
      consumers.add(consumer);
    }
    for (Thread consumer : consumers) {
      consumer.join();
    }
    record.say("%d sent, %d answered, %d answers of instances had no length,"
        + " %d answers were not in the protocol or not of their request",
        sent.get(), answered.get(), unframed.get(), mixed.get());
    return mixed.get() > 0;
  }

  private void consume(Deployment deployment, int number) {
    long endNanos = System.nanoTime() + PLAY_MS * 1_000_000;
    for (int connection = 0; System.nanoTime() < endNanos; connection++) {
      try (Socket socket = new Socket("127.0.0.1", deployment.vms.get(0).front)) {
        socket.setSoTimeout(3000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        boolean open = true;
        for (int i = 0; open && System.nanoTime() < endNanos; i++) {
          String method = i % 2 == 0 ? "HEAD" : "GET";
          String requestId = "he-" + number + "-" + connection + "-" + i;
          String request = method + " /menu/" + requestId + " HTTP/1.1\r\nHost: menu.example\r\n"
              + "Request-Id: " + requestId + "\r\nDeadline-Ms: 2000\r\n\r\n";
          out.write(request.getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
          sent.incrementAndGet();
          open = read(in, method, requestId);
        }
      } catch (IOException e) {
        record.line("consumer %d: %s", number, e.getMessage());
      }
    }
  }

  private boolean read(InputStream in, String method, String requestId) throws IOException {
    Http answer = Http.readHead(in);
    if (answer == null) {
      record.line("no answer to %s", requestId);
      return false;
    }
    if (!answer.firstLine.startsWith("HTTP/1.1 ")
        || !answer.header("Request-Id", "").equals(requestId)) {
      mixed.incrementAndGet();
      record.say("MIXED: where the answer to %s %s is due comes \"%s\"", method, requestId,
          answer.firstLine);
      return false;
    }
    if (method.equals("GET")) {
      answer.readBody(in);
    }
    record.line("answered %s %s: %s", method, requestId, answer.firstLine);
    answered.incrementAndGet();
    return !answer.closes();
  }
}
