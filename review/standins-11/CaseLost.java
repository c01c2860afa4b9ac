import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers pipeline safe requests; two instances of six truncate some of their answers. Counts the
 * requests that a sound instance ran and whose connection the entry VM closed without an answer.
 */
final class CaseLost {

  private static final String LOST = "no answer, kept connection closed";
  private static final int ALLOWED = 3;
  private static final int BODY_BYTES = 64 << 10;
  private static final int CONSUMERS = 12;
  private static final int PIPELINED = 4;
  private static final long TRAFFIC_MS = 70_000;

  /** Instances are faulty for a time, again and again, in milliseconds. */
  private static final long FAULTY_MS = 5500;

  private static final long FAULTY_EVERY_MS = 9000;

  /** Every which answer of a faulty instance is truncated: 2 in 100. */
  private static final int TRUNCATED_EVERY = 50;

  private static final Set<String> FAULTY = Set.of("i-1", "i-2");

  private static final Map<String, String> ranAt = new ConcurrentHashMap<>();
  private static final Set<String> truncated = ConcurrentHashMap.newKeySet();
  private static final Map<String, String> outcomes = new ConcurrentHashMap<>();
  private static final AtomicInteger numbers = new AtomicInteger();

  private static Lab.Server instance(String id, boolean faulty) throws IOException {
    AtomicInteger answers = new AtomicInteger();
    return new Lab.Server((head, in, out, socket) -> {
      Lab.readBody(in, head);
      String request = head.get("request-id", "");
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("Request-Id", request);
      fields.put("Instance-Id", id);
      fields.put("Instance-Load", "1,0,6,100");
      if (!head.get("target-instance", id).equals(id)) {
        Lab.writeAnswer(out, 421, fields, new byte[0]);
        return true;
      }
      if (head.first.startsWith("GET /health")) {
        Lab.writeAnswer(out, 200, fields, new byte[0]);
        return true;
      }
      ranAt.merge(request, id, (a, b) -> a + " " + b);
      Lab.note("instance %s runs %s", id, request);
      Lab.sleep(40);
      fields.put("Response-Signature", "sig-" + request);
      byte[] body = new byte[BODY_BYTES];
      boolean faultyNow = faulty && Lab.nowMs() % FAULTY_EVERY_MS < FAULTY_MS;
      if (faultyNow && answers.incrementAndGet() % TRUNCATED_EVERY == 0) {
        truncated.add(request);
        Lab.note("instance %s truncates its answer to %s", id, request);
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
        fields.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        text.append("Content-Length: ").append(BODY_BYTES).append("\r\n\r\n");
        out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(body, 0, BODY_BYTES * 7 / 8);
        out.flush();
        return false;
      }
      Lab.writeAnswer(out, 200, fields, body);
      return true;
    });
  }

  private static void consume(int consumer, Lab.EntryVm vm, long untilMs) {
    while (Lab.nowMs() < untilMs) {
      try (Socket socket = vm.connect()) {
        socket.setSoTimeout(5000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean kept = false;
        while (Lab.nowMs() < untilMs && exchange(consumer, socket.getOutputStream(), in, kept)) {
          kept = true;
          Lab.sleep(120);
        }
      } catch (IOException e) {
        Lab.sleep(50);
      }
    }
  }

  /** Sends some requests at once and reads their answers; returns whether the connection is open. */
  private static boolean exchange(int consumer, OutputStream out, InputStream in, boolean kept) throws IOException {
    List<String> ids = new ArrayList<>();
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < PIPELINED; i++) {
      String id = "c" + consumer + "-" + numbers.incrementAndGet();
      ids.add(id);
      requests.append("GET /report/").append(id).append(" HTTP/1.1\r\nHost: app.example\r\nRequest-Id: ").append(id)
          .append("\r\nDeadline-Ms: 3000\r\n\r\n");
    }
    ids.forEach(id -> outcomes.put(id, kept ? LOST : "no answer on a new connection"));
    out.write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    Lab.note("consumer %d sends %s", consumer, ids);
    for (String id : ids) {
      try {
        Lab.Head head = Lab.readHead(in);
        if (head == null) {
          Lab.note("consumer %d: connection closed before the answer to %s", consumer, id);
          return false;
        }
        outcomes.put(id, "cut answer");
        Lab.readBody(in, head);
        outcomes.put(id, "answer " + head.status());
        if (head.get("connection", "").equalsIgnoreCase("close")) {
          ids.subList(ids.indexOf(id) + 1, ids.size()).forEach(behind -> outcomes.put(behind, "not read"));
          return false;
        }
      } catch (SocketTimeoutException e) {
        outcomes.put(id, "no answer in 5 s");
        return false;
      } catch (EOFException e) {
        Lab.note("consumer %d: %s: %s", consumer, id, e.getMessage());
        return false;
      }
    }
    return true;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = args[1].equals("1");
    Lab.openRecord(Path.of(args[0], "record.txt"));
    Path folder = Lab.temporaryFolder();
    try {
      Lab.Store store = new Lab.Store();
      store.put("op", "config", Lab.configuration(1,
          List.of(Lab.route("report", "safe", 2500, 800, 2, "reports")), List.of(Lab.service("reports", 120, false))));
      for (int i = 1; i <= 6; i++) {
        Lab.Server server = instance("i-" + i, trouble && FAULTY.contains("i-" + i));
        store.put("servers", "i-" + i, Lab.registration("reports", server.port(), "zone-a", 6, "ready", 1_700_000_000_000L));
      }
      Lab.EntryVm vm = new Lab.EntryVm("edge-1", "zone-a", folder);
      vm.writeSettings(store.port(), List.of(vm.peers), true);
      vm.start();
      vm.awaitReady(30_000);
      Lab.sleep(3500); // in touch
      long untilMs = Lab.nowMs() + TRAFFIC_MS;
      List<Thread> consumers = new ArrayList<>();
      for (int i = 0; i < CONSUMERS; i++) {
        int number = i;
        consumers.add(Lab.daemon("consumer", () -> consume(number, vm, untilMs)));
      }
      for (Thread consumer : consumers) {
        consumer.join(TRAFFIC_MS + 8000);
      }
    } catch (IOException | IllegalStateException e) {
      System.out.println("the case could not run: " + e);
      System.exit(2);
    }
    int lost = 0;
    for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
      String ran = ranAt.get(outcome.getKey());
      boolean sound = ran != null && !ran.contains(" ") && !FAULTY.contains(ran);
      if (sound && outcome.getValue().equals(LOST)) {
        lost++;
        Lab.note("LOST %s: run by %s, which answered it whole; %s", outcome.getKey(), ran, outcome.getValue());
      }
    }
    String summary = String.format("%d requests, %d answers truncated, %d requests lost that a sound instance ran (%d allowed)",
        outcomes.size(), truncated.size(), lost, ALLOWED);
    Lab.note("%s", summary);
    System.out.println(summary);
    System.exit(lost > ALLOWED ? 1 : outcomes.size() < 500 ? 2 : 0);
  }
}
