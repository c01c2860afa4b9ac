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
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A service that is divided by key gets hot keys, which change every few seconds; then all entry
 * VMs are killed and come back. Compares what is served before that fault and later than the bound
 * `recovery` after it.
 */
final class CaseMap {

  private static final String SERVICE = "menu-svc";
  private static final int INSTANCES = 160;
  private static final int SLOTS = 6;
  private static final int KEYS = 65_536;
  private static final double HOT_SHARE = 0.4;
  private static final int HOT_KEYS = 200;
  private static final long HOT_MS = 4000;
  private static final int CONSUMERS = 48;
  private static final long PAUSE_MS = 36;
  private static final long MAX_HOT_PHASE_MS = 72_000;
  private static final long CALM_PHASE_MS = 55_000;

  /** Refused writes of the map after which the hot keys need not go on. */
  private static final int ENOUGH_REFUSED = 20;
  private static final long DOWN_MS = 1000;
  private static final long RECOVERY_MS = 15_000;
  private static final long MEASURED_MS = 6000;

  private static volatile int hotKey;
  private static volatile boolean hot;
  private static volatile boolean running = true;
  private static final AtomicInteger asked = new AtomicInteger();
  private static final AtomicInteger served = new AtomicInteger();
  private static final List<Lab.EntryVm> vms = new ArrayList<>();

  /** Keys that an instance holds. */
  private static final class Holdings {
    private List<long[]> grants = new ArrayList<>(); // from, to, fence, end

    synchronized boolean grant(long from, long to, long fence, long holdMs) {
      for (long[] held : grants) {
        if (held[0] <= to && from <= held[1] && held[2] > fence) {
          return false;
        }
      }
      cut(from, to);
      grants.add(new long[] {from, to, fence, Lab.nowMs() + holdMs});
      return true;
    }

    synchronized void release(long from, long to, long fence) {
      cut(from, to);
      grants.add(new long[] {from, to, fence, 0});
    }

    private void cut(long from, long to) {
      List<long[]> rest = new ArrayList<>();
      for (long[] held : grants) {
        if (held[1] < from || held[0] > to) {
          rest.add(held);
          continue;
        }
        if (held[0] < from) {
          rest.add(new long[] {held[0], from - 1, held[2], held[3]});
        }
        if (held[1] > to) {
          rest.add(new long[] {to + 1, held[1], held[2], held[3]});
        }
      }
      grants = rest;
    }

    synchronized boolean holds(long key) {
      long nowMs = Lab.nowMs();
      return grants.stream().anyMatch(held -> held[0] <= key && key <= held[1] && held[3] > nowMs);
    }
  }

  private static Lab.Server instance(String id) throws IOException {
    Holdings holdings = new Holdings();
    AtomicInteger active = new AtomicInteger();
    return new Lab.Server((head, in, out, socket) -> {
      byte[] body = Lab.readBody(in, head);
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("Request-Id", head.get("request-id", ""));
      fields.put("Instance-Id", id);
      if (!head.get("target-instance", id).equals(id)) {
        Lab.writeAnswer(out, 421, fields, new byte[0]);
        return true;
      }
      boolean grant = head.first.startsWith("POST /grant ");
      if (grant || head.first.startsWith("POST /release ")) {
        @SuppressWarnings("unchecked")
        Map<String, Object> call = (Map<String, Object>) new Lab.Json(new String(body, StandardCharsets.UTF_8)).value();
        long from = ((Double) call.get("from")).longValue();
        long to = ((Double) call.get("to")).longValue();
        long fence = ((Double) call.get("fence")).longValue();
        int status = 200;
        if (grant) {
          String hold = (String) call.get("hold_time");
          status = holdings.grant(from, to, fence, Long.parseLong(hold.substring(0, hold.length() - 2))) ? 200 : 409;
        } else {
          holdings.release(from, to, fence);
          fields.put("Handover", "h-" + id);
        }
        Lab.writeAnswer(out, status, fields, new byte[0]);
        return true;
      }
      if (!head.first.startsWith("GET /health") && !holdings.holds(Long.parseLong(head.get("shard-key", "0")))) {
        fields.put("Not-Executed", "1");
        Lab.writeAnswer(out, 421, fields, new byte[0]);
        return true;
      }
      fields.put("Instance-Load", active.incrementAndGet() + ",0," + SLOTS + ",100");
      Lab.sleep(8);
      active.decrementAndGet();
      fields.put("Response-Signature", "sig");
      Lab.writeAnswer(out, 200, fields, new byte[0]);
      return true;
    });
  }

  private static void consume(int number) {
    Random random = new Random(number);
    long count = 0;
    while (running) {
      try (Socket socket = vms.get(random.nextInt(vms.size())).connect()) {
        socket.setSoTimeout(3000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (boolean open = true; open && running; ) {
          boolean isHot = hot && random.nextDouble() < HOT_SHARE;
          int key = isHot ? (hotKey + random.nextInt(HOT_KEYS)) % KEYS : random.nextInt(KEYS);
          out.write(("GET /menu/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: c" + number + "-" + count++ + "\r\nShard-Key: " + key
              + "\r\nDeadline-Ms: 2000\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
          asked.incrementAndGet();
          Lab.Head head = Lab.readHead(in);
          if (head == null) {
            break;
          }
          Lab.readBody(in, head);
          served.addAndGet(head.status() == 200 ? 1 : 0);
          open = !head.get("connection", "").equalsIgnoreCase("close");
          Lab.sleep(PAUSE_MS);
        }
      } catch (IOException e) {
        asked.incrementAndGet(); // refused, reset or not answered
        Lab.sleep(50);
      }
    }
  }

  private static void killAndRestart(List<Integer> seeds, int store) throws Exception {
    for (Lab.EntryVm vm : vms) {
      vm.process.destroyForcibly();
    }
    for (Lab.EntryVm vm : vms) {
      vm.process.waitFor();
    }
    Lab.note("all entry VMs were killed");
    Lab.sleep(DOWN_MS);
    for (Lab.EntryVm vm : vms) {
      vm.writeSettings(store, seeds, false);
      vm.start();
    }
    Lab.note("all entry VMs are started again");
  }

  private static double measure(String when, long ms) {
    asked.set(0);
    served.set(0);
    Lab.sleep(ms);
    int all = asked.get();
    int good = served.get();
    double share = all == 0 ? 0 : (double) good / all;
    Lab.note("%s: %d of %d requests served, %.3f", when, good, all, share);
    return share;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Lab.openRecord(Path.of(args[0], "record.txt"));
    Path folder = Lab.temporaryFolder();
    double before = 0;
    double after = 0;
    Lab.Store store = new Lab.Store();
    try {
      store.put("op", "config", Lab.configuration(1,
          List.of(Lab.route("menu", "safe", 2000, 500, 2, SERVICE)), List.of(Lab.service(SERVICE, 600, true))));
      for (int i = 0; i < INSTANCES; i++) {
        String id = String.format(Locale.ROOT, "%s-6d5f7c9b8d-%05d.zone-a", SERVICE, i);
        store.put("servers", id, Lab.registration(SERVICE, instance(id).port(), "zone-a", SLOTS, "ready", 1_796_685_792_455L));
      }
      List<Integer> seeds = new ArrayList<>();
      for (int i = 1; i <= 2; i++) {
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
      for (long endMs = Lab.nowMs() + 15_000; mapBytes(store) == 0; Lab.sleep(100)) {
        if (Lab.nowMs() > endMs) {
          throw new IllegalStateException("no owners of keys were written");
        }
      }
      Lab.sleep(1000);
      killAndRestart(seeds, store.port()); // all processes may be killed in the middle of a day
      for (Lab.EntryVm vm : vms) {
        vm.awaitReady(20_000);
      }
      for (int i = 0; i < CONSUMERS; i++) {
        int number = i;
        Lab.daemon("consumer", () -> consume(number));
      }
      Random random = new Random(7);
      hot = trouble;
      long untilMs = Lab.nowMs() + (trouble ? MAX_HOT_PHASE_MS : CALM_PHASE_MS);
      while (Lab.nowMs() < untilMs && store.refusedWrites < ENOUGH_REFUSED) {
        hotKey = random.nextInt(KEYS);
        int all = asked.getAndSet(0);
        Lab.note("%s; %d of %d requests served since the last line; map of %d bytes, %d writes refused",
            hot ? "hot keys from " + hotKey + " on" : "no hot keys", served.getAndSet(0), all, mapBytes(store), store.refusedWrites);
        Lab.sleep(HOT_MS);
      }
      before = measure("before the final fault", MEASURED_MS);
      hot = false;
      int refusedBefore = store.refusedWrites;
      Lab.note("map of %d bytes, %d writes refused", mapBytes(store), refusedBefore);
      killAndRestart(seeds, store.port());
      Lab.sleep(RECOVERY_MS + 500);
      after = measure("later than `recovery` after the machines are back", MEASURED_MS);
      Lab.note("map of %d bytes, %d writes refused since the final fault", mapBytes(store), store.refusedWrites - refusedBefore);
    } catch (IOException | IllegalStateException e) {
      System.out.println("the case could not run: " + e);
      System.exit(2);
    }
    running = false;
    String summary = String.format(Locale.ROOT, "served before the final fault %.3f, later than recovery after it %.3f; map of %d bytes, %d writes refused",
        before, after, mapBytes(store), store.refusedWrites);
    Lab.note("%s", summary);
    System.out.println(summary);
    System.exit(before < 0.25 ? 2 : after < 0.25 ? 1 : 0);
  }

  private static int mapBytes(Lab.Store store) {
    return store.tableNames().stream().mapToInt(table -> store.valueBytes(table, SERVICE)).max().orElse(0);
  }
}
