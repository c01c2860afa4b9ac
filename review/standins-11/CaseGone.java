import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers send uploads while all slots of the service are taken, and a part of them leaves soon.
 * Counts the uploads that reach an instance over half a second after their consumer has closed.
 */
final class CaseGone {

  /** What counts as a few, as generously as for the closes of kept connections. */
  private static final int ALLOWED = 5;

  private static final long LATE_MS = 500;
  private static final int UPLOAD_BYTES = 360_000;
  private static final int ROUNDS = 6;
  private static final int SLOTS = 2;
  private static final int INSTANCES = 5;
  private static final int OTHERS = 28;
  private static final int LEAVING = 6;
  private static final long LEAVES_AFTER_MS = 200;
  private static final long FILLER_WORK_MS = 900;

  private static final Map<String, Long> leftAtMs = new ConcurrentHashMap<>();
  private static final Map<String, Long> arrivedAtMs = new ConcurrentHashMap<>();
  private static final Map<String, Long> ranAtMs = new ConcurrentHashMap<>();
  private static final AtomicInteger answered = new AtomicInteger();

  private static Lab.Server instance(String id, int slots) throws IOException {
    return new Lab.Server((head, in, out, socket) -> {
      String request = head.get("request-id", "");
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("Request-Id", request);
      fields.put("Instance-Id", id);
      fields.put("Instance-Load", "1,0," + slots + ",100");
      boolean health = head.first.startsWith("GET /health");
      if (!health && !head.get("target-instance", id).equals(id)) {
        Lab.readBody(in, head);
        Lab.writeAnswer(out, 421, fields, new byte[0]);
        return true;
      }
      if (!health) {
        arrivedAtMs.put(request, Lab.nowMs());
        Lab.note("%s reaches instance %s", request, id);
      }
      byte[] body = Lab.readBody(in, head);
      if (health) {
        Lab.writeAnswer(out, 200, fields, new byte[0]);
        return true;
      }
      ranAtMs.put(request, Lab.nowMs());
      Lab.note("instance %s begins to run %s, body of %d bytes", id, request, body.length);
      Lab.sleep(head.first.contains("/filler") ? FILLER_WORK_MS : 60);
      fields.put("Response-Signature", "sig-" + request);
      Lab.writeAnswer(out, 200, fields, "done".getBytes(StandardCharsets.ISO_8859_1));
      return true;
    });
  }

  private static void send(OutputStream out, String method, String path, String id, int bytes) throws IOException {
    String head = method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 6000\r\n"
        + (bytes > 0 ? "Content-Length: " + bytes + "\r\n" : "") + "\r\n";
    byte[] all = new byte[head.length() + bytes];
    System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, all, 0, head.length());
    Lab.note("%s is sent", id);
    out.write(all);
    out.flush();
  }

  private static void consume(Lab.EntryVm vm, String method, String path, String id, int bytes, boolean leaves) {
    try (Socket socket = vm.connect()) {
      socket.setSoTimeout(8000);
      send(socket.getOutputStream(), method, path, id, bytes);
      if (leaves) {
        Lab.sleep(LEAVES_AFTER_MS);
        leftAtMs.put(id, Lab.nowMs());
        Lab.note("the consumer of %s closes its connection", id);
        return;
      }
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Lab.Head answer = Lab.readHead(in);
      if (answer != null) {
        Lab.readBody(in, answer);
        Lab.note("%s is answered with %d", id, answer.status());
        answered.incrementAndGet();
      }
    } catch (IOException e) {
      Lab.note("%s: %s", id, e.getMessage());
    }
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = args[1].equals("1");
    Lab.openRecord(Path.of(args[0], "record.txt"));
    Path folder = Lab.temporaryFolder();
    try {
      Lab.Store store = new Lab.Store();
      store.put("op", "config", Lab.configuration(1,
          List.of(Lab.route("upload", "upload", 5000, 2500, 2, "studio"), Lab.route("filler", "safe", 5000, 2500, 1, "studio"),
              Lab.route("read", "safe", 5000, 2500, 2, "board")),
          List.of(Lab.service("studio", 120, false), Lab.service("board", 120, false))));
      for (int i = 1; i <= INSTANCES; i++) {
        store.put("servers", "s-" + i, Lab.registration("studio", instance("s-" + i, SLOTS).port(), "zone-a", SLOTS, "ready", 1_700_000_000_000L));
        store.put("servers", "b-" + i, Lab.registration("board", instance("b-" + i, 8).port(), "zone-a", 8, "ready", 1_700_000_000_000L));
      }
      Lab.EntryVm vm = new Lab.EntryVm("edge-1", "zone-a", folder);
      vm.writeSettings(store.port(), List.of(vm.peers), true);
      vm.start();
      vm.awaitReady(30_000);
      Lab.sleep(3500); // in touch
      for (int round = 0; round < ROUNDS; round++) {
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < INSTANCES * SLOTS; i++) {
          String id = "filler-" + round + "-" + i;
          consumers.add(Lab.daemon(id, () -> consume(vm, "GET", "/filler/x", id, 0, false)));
        }
        Lab.sleep(50);
        for (int i = 0; i < OTHERS + LEAVING; i++) {
          boolean uploads = i < LEAVING;
          String id = (uploads ? "upload-" : "read-") + round + "-" + i;
          consumers.add(Lab.daemon(id, () -> consume(vm, uploads ? "POST" : "GET", uploads ? "/upload/x" : "/read/x", id,
              uploads ? UPLOAD_BYTES : 0, uploads && trouble)));
        }
        for (Thread consumer : consumers) {
          consumer.join(9000);
        }
        Lab.sleep(2500);
      }
    } catch (IOException | IllegalStateException e) {
      System.out.println("the case could not run: " + e);
      System.exit(2);
    }
    int late = 0;
    int run = 0;
    for (Map.Entry<String, Long> left : leftAtMs.entrySet()) {
      Long arrived = arrivedAtMs.get(left.getKey());
      if (arrived != null && arrived - left.getValue() > LATE_MS) {
        late++;
        run += ranAtMs.containsKey(left.getKey()) ? 1 : 0;
        Lab.note("GONE %s: reached an instance %d ms after its consumer had closed%s", left.getKey(), arrived - left.getValue(),
            ranAtMs.containsKey(left.getKey()) ? ", and was run" : "");
      }
    }
    String summary = String.format("%d consumers left, %d of their uploads reached an instance over %d ms later (%d allowed), %d were run; %d requests answered",
        leftAtMs.size(), late, LATE_MS, ALLOWED, run, answered.get());
    Lab.note("%s", summary);
    System.out.println(summary);
    System.exit(late > ALLOWED ? 1 : answered.get() < ROUNDS * OTHERS / 2 ? 2 : 0);
  }
}
