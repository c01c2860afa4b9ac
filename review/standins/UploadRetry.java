import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers upload bodies while one instance of eight rejects part of its requests. Each body that
 * an instance runs must be the one that was sent.
 */
final class UploadRetry extends Case {

  private static final int INSTANCES = 8;
  private static final int CONSUMERS = 24;
  private static final int UPLOADS = 40;
  private static final int BODY_BYTES = 300_000;
  private static final double SHED_SHARE = 0.45;
  private static final long TROUBLE_MS = 6500;

  private final Map<String, byte[]> sent = new ConcurrentHashMap<>();
  private final AtomicInteger changed = new AtomicInteger();
  private final AtomicInteger shed = new AtomicInteger();
  private final AtomicInteger ran = new AtomicInteger();
  private volatile long troubleUntilNanos;

  public static void main(String[] arguments) {
    run(new UploadRetry(), arguments);
  }

  /** An instance that compares each body that it runs with the one that was sent. */
  private final class Intake extends InstanceStandIn {
    private final boolean shedding;
    private int seen;

    Intake(int number, boolean shedding) throws IOException {
      super("i-intake" + number, "studio-intake", "z" + number % 2, 4, false, record);
      this.shedding = shedding;
    }

    @Override
    long workMs(Http request) {
      return 200;
    }

    @Override
    synchronized boolean sheds(Http request) {
      if (!shedding || System.nanoTime() >= troubleUntilNanos) {
        return false;
      }
      seen++;
      boolean sheds = (int) (seen * SHED_SHARE) > (int) ((seen - 1) * SHED_SHARE);
      shed.addAndGet(sheds ? 1 : 0);
      return sheds;
    }

    @Override
    void onRun(Http request) {
      ran.incrementAndGet();
      String requestId = request.header("Request-Id", "");
      byte[] body = sent.get(requestId);
      if (body == null || !Arrays.equals(body, request.body)) {
        changed.incrementAndGet();
        record.say("UNASKED: %s runs %s with a body of %d bytes, %d were sent", id, requestId,
            request.body.length, body == null ? 0 : body.length);
      }
    }
  }

  @Override
  String prepare(Deployment deployment) throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      deployment.add(new Intake(i, i == 0));
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
    record.say("%d uploads sent, %d run, %d rejected by the instance, %d run with another body",
        sent.size(), ran.get(), shed.get(), changed.get());
    return changed.get() > 0;
  }

  private void consume(Deployment deployment, int number) {
    Random random = new Random(number);
    Deployment.Vm vm = deployment.vms.get(number % deployment.vms.size());
    for (int i = 0; i < UPLOADS; i++) {
      String requestId = "up-" + number + "-" + i;
      byte[] body = new byte[BODY_BYTES];
      random.nextBytes(body);
      sent.put(requestId, body);
      try (Socket socket = new Socket("127.0.0.1", vm.front)) {
        socket.setSoTimeout(8000);
        String head = "POST /upload/" + requestId + " HTTP/1.1\r\nHost: studio.example\r\n"
            + "Request-Id: " + requestId + "\r\nDeadline-Ms: 4000\r\nContent-Length: "
            + body.length + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
        record.line("sent %s to %s, body of %d bytes", requestId, vm.node, body.length);
        Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
        record.line("answered %s: %s", requestId, answer == null ? "nothing" : answer.firstLine);
      } catch (IOException e) {
        record.line("no answer to %s: %s", requestId, e.getMessage());
      }
    }
  }
}
