import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers upload large bodies. Some instances answer before they have read a body, give the
 * answer no length, and reset the connection within it. Such an answer must not look complete.
 */
final class ResetAnswer extends Case {

  private static final int INSTANCES = 8;
  private static final double FAULTY_SHARE = 0.5;
  private static final double RESET_SHARE = 0.05;
  private static final long TROUBLE_MS = 5000;
  private static final long PLAY_MS = 7000;
  private static final int CONSUMERS = 20;
  private static final int UPLOAD_BYTES = 2_000_000;
  private static final int ANSWER_BYTES = 24_000;
  private static final int SENT_BYTES = 12_000;
  private static final long BEFORE_RESET_MS = 10;

  private final Map<String, String> resetBy = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger mixed = new AtomicInteger();
  private volatile long troubleUntilNanos;

  public static void main(String[] arguments) {
    run(new ResetAnswer(), arguments);
  }

  private final class Intake extends InstanceStandIn {
    private final boolean faulty;
    private int seen;

    Intake(int number, boolean faulty) throws IOException {
      super("i-intake" + number, "studio-intake", "z" + number % 2, 4, false, record);
      this.faulty = faulty;
    }

    @Override
    long workMs(Http request) {
      return 100;
    }

    @Override
    byte[] answerBody(Http request) {
      return new byte[ANSWER_BYTES];
    }

    private synchronized boolean resets() {
      if (!faulty || System.nanoTime() >= troubleUntilNanos) {
        return false;
      }
      seen++;
      return (int) (seen * RESET_SHARE) > (int) ((seen - 1) * RESET_SHARE);
    }

    @Override
    boolean receive(Http request, Connection connection) throws IOException {
      if (!request.target().startsWith("/upload/") || !resets()) {
        return super.receive(request, connection);
      }
      String requestId = request.header("Request-Id", "");
      resetBy.put(requestId, id);
      String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: " + id
          + "." + requestId + "\r\nConnection: close\r\n\r\n";
      write(connection, head.getBytes(StandardCharsets.ISO_8859_1), new byte[SENT_BYTES]);
      try {
        Thread.sleep(BEFORE_RESET_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      log.line("%s: resets the connection after %d of %d bytes of its answer to %s", id, SENT_BYTES,
          ANSWER_BYTES, requestId);
      connection.socket.setSoLinger(true, 0); // a close with pending bytes resets too
      connection.socket.close();
      return false;
    }
  }

  @Override
  String prepare(Deployment deployment) throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      deployment.add(new Intake(i, i < FAULTY_SHARE * INSTANCES));
    }
    deployment.addVm("edge-1", "z0");
    deployment.addVm("edge-2", "z1");
    return Deployment.config(
        7,
        "[\"r-upload\",\"studio.example\",\"/upload/\",\"upload\",\"4000ms\",\"1500ms\",1,"
            + "\"studio-intake\",2,null]",
        Deployment.service("studio-intake", false));
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
    record.say("%d uploads sent, %d answered, %d answers reset by instances,"
        + " %d successes without the instance's whole body",
        sent.get(), answered.get(), resetBy.size(), mixed.get());
    return mixed.get() > 0;
  }

  private void consume(Deployment deployment, int number) {
    Deployment.Vm vm = deployment.vms.get(number % deployment.vms.size());
    long endNanos = System.nanoTime() + PLAY_MS * 1_000_000;
    byte[] body = new byte[UPLOAD_BYTES];
    for (int i = 0; System.nanoTime() < endNanos; i++) {
      String requestId = "up-" + number + "-" + i;
      try (Socket socket = new Socket("127.0.0.1", vm.front)) {
        socket.setSoTimeout(8000);
        OutputStream out = socket.getOutputStream();
        String head = "POST /upload/" + requestId + " HTTP/1.1\r\nHost: studio.example\r\n"
            + "Request-Id: " + requestId + "\r\nDeadline-Ms: 4000\r\nContent-Length: "
            + body.length + "\r\n\r\n";
        Thread writer = new Thread(() -> write(out, head, body, requestId));
        writer.start();
        sent.incrementAndGet();
        Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
        judge(requestId, answer);
      } catch (IOException e) {
        record.line("no whole answer to %s: %s", requestId, e.getMessage());
      }
    }
  }

  private void write(OutputStream out, String head, byte[] body, String requestId) {
    try {
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
      record.line("sent %s, body of %d bytes", requestId, body.length);
    } catch (IOException e) {
      record.line("the rest of %s is not taken: %s", requestId, e.getMessage());
    }
  }

  private void judge(String requestId, Http answer) {
    if (answer == null) {
      record.line("no answer to %s", requestId);
      return;
    }
    answered.incrementAndGet();
    record.line("answered %s: %s, %d bytes", requestId, answer.firstLine, answer.body.length);
    if (answer.status() == 200 && answer.body.length != ANSWER_BYTES) {
      mixed.incrementAndGet();
      record.say("MIXED: %s gets 200 with %d bytes as a complete answer, %s broke off its answer of"
          + " %d bytes", requestId, answer.body.length, resetBy.get(requestId), ANSWER_BYTES);
    }
  }
}
