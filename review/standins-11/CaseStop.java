import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers read downloads slowly while their entry VM is stopped. Counts the downloads that are
 * cut off. Either they connect shortly after the SIGTERM, or they have asked before it and send a
 * further safe request before they have read the first answer to its end.
 */
final class CaseStop {

  private static final int VMS = 3;
  private static final int CONSUMERS = 8;
  private static final int RECEIVE_BYTES = 32 << 10;
  private static final long READ_PAUSE_MS = 100;
  private static final long TIMEOUT_MS = 8000;
  private static final long GRACE_MS = 6000;

  /** Time from the SIGTERM in which the rule counts what is cut off. */
  private static final long COUNTED_MS = GRACE_MS + 1000;

  /**
   * When and how the consumers read.
   *
   * @param sheetBytes length of a download
   * @param readBytes bytes that a consumer takes every {@link #READ_PAUSE_MS}
   * @param slowMs time after its request from which it takes the rest at once
   * @param sentMs when it sends its request, from the SIGTERM on
   * @param nextMs when it sends the next request, from the SIGTERM on; never if negative
   */
  private record Habit(int sheetBytes, int readBytes, long slowMs, long sentMs, long nextMs) {}

  private static final Habit AFTER_SIGTERM = new Habit(540_000, 4000, 4800, 1000, -1);
  private static final Habit PIPELINING = new Habit(90_000, 2000, Long.MAX_VALUE, -500, 2800);

  private static final Set<String> answeredWhole = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger whole = new AtomicInteger();
  private static final AtomicInteger cut = new AtomicInteger();
  private static final AtomicInteger other = new AtomicInteger();

  private static Lab.Server instance(String id, int sheetBytes) throws IOException {
    return new Lab.Server((head, in, out, socket) -> {
      Lab.readBody(in, head);
      String request = head.get("request-id", "");
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("Request-Id", request);
      fields.put("Instance-Id", id);
      fields.put("Instance-Load", "1,0,8,100");
      if (!head.get("target-instance", id).equals(id)) {
        Lab.writeAnswer(out, 421, fields, new byte[0]);
        return true;
      }
      boolean sheet = head.first.startsWith("GET /sheet");
      Lab.note("instance %s runs %s", id, request);
      Lab.sleep(20);
      fields.put("Response-Signature", "sig-" + request);
      Lab.writeAnswer(out, 200, fields, new byte[sheet ? sheetBytes : 500]);
      Lab.note("instance %s has answered %s whole", id, request);
      answeredWhole.add(request);
      return true;
    });
  }

  private static String get(String path, String id) {
    return "GET " + path + " HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 8500\r\n\r\n";
  }

  private static void consume(Lab.EntryVm vm, String name, Habit habit, long sigtermMs) {
    String id = "sheet-" + name;
    int body = 0;
    long sentMs = Lab.nowMs();
    try (Socket socket = vm.connect(RECEIVE_BYTES)) {
      socket.setSoTimeout(9000);
      socket.getOutputStream().write(get("/sheet/x", id).getBytes(StandardCharsets.ISO_8859_1));
      Lab.note("%s is sent", id);
      InputStream in = new BufferedInputStream(socket.getInputStream(), habit.readBytes());
      Lab.Head head = Lab.readHead(in);
      if (head == null || head.status() != 200) {
        other.incrementAndGet();
        Lab.note("%s: %s", id, head == null ? "closed" : head.first);
        return;
      }
      Lab.note("%s: %s, Connection: %s", id, head.first, head.get("connection", "(none)"));
      boolean nextSent = habit.nextMs() < 0;
      while (body < habit.sheetBytes()) {
        body += Lab.readBytes(in, Math.min(habit.readBytes(), habit.sheetBytes() - body)).length;
        if (!nextSent && Lab.nowMs() >= sigtermMs + habit.nextMs()) {
          nextSent = true;
          Lab.note("read-%s is sent, %d bytes of %s are read", name, body, id);
          socket.getOutputStream().write(get("/read/x", "read-" + name).getBytes(StandardCharsets.ISO_8859_1));
        }
        if (Lab.nowMs() - sentMs < habit.slowMs()) {
          Lab.sleep(READ_PAUSE_MS);
        }
      }
      whole.incrementAndGet();
      Lab.note("%s is whole after %d ms", id, Lab.nowMs() - sentMs);
    } catch (IOException e) {
      long nowMs = Lab.nowMs();
      boolean counts = answeredWhole.contains(id) && nowMs - sigtermMs <= COUNTED_MS && nowMs - sentMs < TIMEOUT_MS;
      (counts ? cut : other).incrementAndGet();
      Lab.note("%s %s: cut off after %d of %d bytes, %d ms after it was sent: %s",
          counts ? "LOST" : "not counted", id, body, habit.sheetBytes(), nowMs - sentMs, e);
    }
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = args[1].equals("1");
    Habit habit = args[2].equals("after-sigterm") ? AFTER_SIGTERM : PIPELINING;
    Lab.openRecord(Path.of(args[0], "record.txt"));
    Path folder = Lab.temporaryFolder();
    try {
      Lab.Store store = new Lab.Store();
      store.put("op", "config", Lab.configuration(1,
          List.of(Lab.route("sheet", "download", (int) TIMEOUT_MS, 2000, 2, "sheets"), Lab.route("read", "safe", 3000, 800, 2, "sheets")),
          List.of(Lab.service("sheets", 120, false))));
      for (int i = 1; i <= 4; i++) {
        store.put("servers", "i-" + i, Lab.registration("sheets", instance("i-" + i, habit.sheetBytes()).port(), "zone-a", 8, "ready", 1_700_000_000_000L));
      }
      List<Lab.EntryVm> vms = new ArrayList<>();
      List<Integer> seeds = new ArrayList<>();
      for (int i = 1; i <= VMS; i++) {
        Lab.EntryVm vm = new Lab.EntryVm("edge-" + i, "zone-a", folder);
        vms.add(vm);
        seeds.add(vm.peers);
      }
      for (Lab.EntryVm vm : vms) {
        vm.writeSettings(store.port(), seeds, true);
        vm.start();
      }
      for (Lab.EntryVm vm : vms) {
        vm.awaitReady(20_000);
      }
      Lab.sleep(4000); // in touch
      for (Lab.EntryVm vm : vms) {
        long sigtermMs = Lab.nowMs() + Math.max(0, -habit.sentMs());
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < CONSUMERS; i++) {
          String name = vm.node + "-" + i;
          consumers.add(Lab.daemon(name, () -> {
            Lab.sleep(sigtermMs + habit.sentMs() - Lab.nowMs());
            consume(vm, name, habit, sigtermMs);
          }));
        }
        Lab.sleep(sigtermMs - Lab.nowMs());
        if (trouble) {
          Lab.note("SIGTERM to %s", vm.node);
          vm.signal("TERM");
        }
        for (Thread consumer : consumers) {
          consumer.join(12_000);
        }
        if (trouble) {
          if (!vm.process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS)) {
            vm.process.destroyForcibly();
          }
          Lab.note("%s has ended", vm.node);
          vm.writeSettings(store.port(), seeds, false);
          vm.start();
          vm.awaitReady(20_000);
          Lab.sleep(3500);
        }
      }
    } catch (IOException | IllegalStateException e) {
      System.out.println("the case could not run: " + e);
      System.exit(2);
    }
    String summary = String.format("%d downloads whole, %d cut off though their instance had answered them whole (none allowed), %d others",
        whole.get(), cut.get(), other.get());
    Lab.note("%s", summary);
    System.out.println(summary);
    System.exit(cut.get() > 0 ? 1 : whole.get() == 0 ? 2 : 0);
  }
}
