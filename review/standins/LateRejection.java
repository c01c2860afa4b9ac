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
 * Orders that must not repeat go to a keyed service. An instance rejects some, and repeats a
 * rejection at the point where the next answer on that connection is expected.
 */
final class LateRejection extends Case {

  private static final int INSTANCES = 8;
  private static final int CONSUMERS = 24;
  private static final double SHED_SHARE = 0.55;
  private static final double LATE_SHARE = 0.03;
  private static final int LATE_INSTANCES = 4;
  private static final int ROUNDS = 5;
  private static final long ROUND_MS = 9000;
  private static final long TROUBLE_MS = 5000;

  private final List<Ledger> ledgers = new ArrayList<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
  private final AtomicInteger rejections = new AtomicInteger();
  private final AtomicInteger repeated = new AtomicInteger();
  private volatile long troubleUntilNanos;
  private volatile boolean ended;

  public static void main(String[] arguments) {
    run(new LateRejection(), arguments);
  }

  private final class Ledger extends InstanceStandIn {
    private final boolean late;
    private int seen;
    private int seenInRound;
    private int repeatsInRound;
    private final Map<Connection, String> lateId = new ConcurrentHashMap<>();

    Ledger(int number, boolean late) throws IOException {
      super("i-ledger" + number, "tarif", "z" + number % 2, 4, true, record);
      this.late = late;
    }

    /** Starts counting anew, since the share of late answers holds for each round. */
    synchronized void beginRound() {
      seenInRound = 0;
      repeatsInRound = 0;
    }

    @Override
    long workMs(Http request) {
      return 40;
    }

    @Override
    synchronized boolean sheds(Http request) {
      if (System.nanoTime() >= troubleUntilNanos) {
        return false;
      }
      seen++;
      seenInRound++;
      return (int) (seen * SHED_SHARE) > (int) ((seen - 1) * SHED_SHARE);
    }

    @Override
    synchronized void onRejected(Http request, byte[] answer, Connection connection) {
      rejections.incrementAndGet();
      if (late && repeatsInRound + 1 <= LATE_SHARE * seenInRound) {
        repeatsInRound++;
        connection.late = answer;
        lateId.put(connection, request.header("Request-Id", ""));
      }
    }

    @Override
    void beforeRequest(Http request, Connection connection) throws IOException {
      if (connection.late != null) {
        byte[] late = connection.late;
        connection.late = null;
        if (System.nanoTime() < troubleUntilNanos) {
          repeated.incrementAndGet();
          record.line("%s: repeats the rejection of %s as %s is there", id,
              lateId.get(connection), request.header("Request-Id", ""));
          write(connection, late, new byte[0]);
        }
      }
    }

    @Override
    void onRun(Http request) {
      runs.merge(request.header("Request-Id", ""), 1, Integer::sum);
    }
  }

  @Override
  String prepare(Deployment deployment) throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      Ledger ledger = new Ledger(i, i < LATE_INSTANCES);
      ledgers.add(ledger);
      deployment.add(ledger);
    }
    deployment.addVm("edge-1", "z0");
    return Deployment.config(
        7,
        "[\"r-order\",\"order.example\",\"/order/\",\"unsafe\",\"4000ms\",\"1000ms\",1,"
            + "\"tarif\",2,null],"
            + "[\"r-transfer\",\"order.example\",\"/transfer/\",\"unsafe\",\"4000ms\","
            + "\"1000ms\",1,\"tarif\",3,null]",
        Deployment.service("tarif", true));
  }

  @Override
  boolean play(Deployment deployment) throws Exception {
    Thread.sleep(4000);
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      int number = i;
      Thread consumer = new Thread(() -> consume(deployment, number));
      consumer.start();
      consumers.add(consumer);
    }
    for (int round = 0; round < ROUNDS; round++) {
      ledgers.forEach(Ledger::beginRound);
      troubleUntilNanos = trouble ? System.nanoTime() + TROUBLE_MS * 1_000_000 : 0;
      Thread.sleep(ROUND_MS);
    }
    ended = true;
    for (Thread consumer : consumers) {
      consumer.join();
    }
    Thread.sleep(1000);
    int twice = 0;
    int refused = 0;
    for (Map.Entry<String, Integer> entry : runs.entrySet()) {
      if (entry.getValue() > 1) {
        twice++;
        record.say("TWICE: %s ran %d times", entry.getKey(), entry.getValue());
      }
      int status = statuses.getOrDefault(entry.getKey(), 0);
      if (status == 503 || status == 429) {
        refused++;
        record.say("REFUSED: %s was answered %d and ran", entry.getKey(), status);
      }
    }
    record.say("%d orders ran, %d rejections, %d of them repeated late, %d orders ran twice,"
        + " %d refused and run", runs.size(), rejections.get(), repeated.get(), twice, refused);
    return twice > 0 || refused > 0;
  }

  private void consume(Deployment deployment, int number) {
    Deployment.Vm vm = deployment.vms.get(0);
    for (int i = 0; !ended; i++) {
      String requestId = "or-" + number + "-" + i;
      try (Socket socket = new Socket("127.0.0.1", vm.front)) {
        socket.setSoTimeout(8000);
        int key = (number * 2731 + i * 31) % 65536;
        String path = number % 2 == 0 ? "/order/" : "/transfer/";
        String request = "POST " + path + requestId + " HTTP/1.1\r\nHost: order.example\r\n"
            + "Request-Id: " + requestId + "\r\nDeadline-Ms: 4000\r\nShard-Key: " + key
            + "\r\nContent-Length: 5\r\n\r\norder";
        OutputStream out = socket.getOutputStream();
        out.write(request.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        record.line("sent %s", requestId);
        Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
        record.line("answered %s: %s", requestId, answer == null ? "nothing" : answer.firstLine);
        statuses.put(requestId, answer == null ? 0 : answer.status());
      } catch (IOException e) {
        record.line("no answer to %s: %s", requestId, e.getMessage());
      }
    }
  }
}
