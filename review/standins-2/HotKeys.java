import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Case 6: the busy keys of a service change again and again; then the process is killed. */
final class HotKeys {

  private static final int INSTANCES = Integer.getInteger("instances", 100);
  private static final int SLOTS = 6;
  private static final int CALLERS = Integer.getInteger("callers", 32);
  private static final int WORK_MS = 5;
  private static final int KEYS = 65536;

  /** Two groups of busy keys at a time; each has this share of the requests, for two phases. */
  private static final double HOT_SHARE = 0.32;

  private static final int HOT_KEYS = 200;
  private static final long PHASE_MS = Integer.getInteger("phase", 2000);
  private static final long MAX_BUSY_MS = Integer.getInteger("busy", 62_000);
  private static final long MAX_BUSY_AGAIN_MS = 10_000;

  /** The rule's `recovery`, and half a second. */
  private static final long RECOVERY_MS = 15_500;

  private static final long JUDGED_MS = 4000;

  private HotKeys() {}

  /** Runs requests for keys only while it holds them. */
  private static final class Holder extends Lab.Instance {

    /** Holds of keys: first, last, fence, end. A released or expired one keeps its fence. */
    private final List<long[]> holds = new ArrayList<>();

    private final Lab.Record record;

    Holder(String id, Lab.Record record) throws IOException {
      super("menu", id, SLOTS);
      this.record = record;
    }

    @Override
    @SuppressWarnings("unchecked")
    byte[] answer(Lab.Message call, String fields) {
      if (call.path().equals("/grant")) {
        int status = grant((Map<String, Object>) Lab.Json.parse(call.body));
        return Lab.answer(status, fields, new byte[0]);
      }
      if (call.path().equals("/release")) {
        release((Map<String, Object>) Lab.Json.parse(call.body));
        Lab.sleep(WORK_MS + 1); // by then the work on these keys has ended
        return Lab.answer(200, fields + "Handover: 5c0e7a21d94b36f8\r\n", new byte[0]);
      }
      if (!holds(Long.parseLong(call.field("shard-key")))) {
        return Lab.answer(421, fields + "Not-Executed: 1\r\n", new byte[0]);
      }
      record.line("run " + call.field("request-id") + " at " + id);
      Lab.sleep(WORK_MS);
      String signature = "Response-Signature: s-" + call.field("request-id") + "\r\n";
      return Lab.answer(200, fields + signature, new byte[200]);
    }

    private synchronized int grant(Map<String, Object> call) {
      long from = (Long) call.get("from");
      long to = (Long) call.get("to");
      long fence = (Long) call.get("fence");
      for (long[] hold : holds) {
        if (hold[0] <= to && from <= hold[1] && hold[2] > fence) {
          return 409;
        }
      }
      String time = (String) call.get("hold_time");
      long holdMs = Long.parseLong(time.substring(0, time.length() - 2));
      replace(from, to, fence, Lab.nowMs() + holdMs);
      return 200;
    }

    private synchronized void release(Map<String, Object> call) {
      replace((Long) call.get("from"), (Long) call.get("to"), (Long) call.get("fence"), 0);
    }

    private void replace(long from, long to, long fence, long endMs) {
      List<long[]> rest = new ArrayList<>();
      for (long[] hold : holds) {
        if (hold[0] < from) {
          rest.add(new long[] {hold[0], Math.min(hold[1], from - 1), hold[2], hold[3]});
        }
        if (hold[1] > to) {
          rest.add(new long[] {Math.max(hold[0], to + 1), hold[1], hold[2], hold[3]});
        }
      }
      holds.clear();
      holds.addAll(rest);
      holds.add(new long[] {from, to, fence, endMs});
    }

    private synchronized boolean holds(long key) {
      for (long[] hold : holds) {
        if (hold[0] <= key && key <= hold[1] && Lab.nowMs() < hold[3]) {
          return true;
        }
      }
      return false;
    }
  }

  /** Sends keyed lookups over a kept connection. */
  private static final class Caller {

    private static final AtomicLong ids = new AtomicLong();

    private final Lab.Record record;
    private Socket socket;
    private InputStream in;

    Caller(Lab.Record record) {
      this.record = record;
    }

    /** Returns whether the request was served. */
    boolean ask(int port, int key) {
      String request = "%016x".formatted(0x9c41d07b00000000L + ids.incrementAndGet());
      record.line("send " + request + " for key " + key);
      String outcome;
      try {
        if (socket == null) {
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(new InetSocketAddress(Lab.LOOPBACK, port), 1000);
          socket.setSoTimeout(3000);
          in = new BufferedInputStream(socket.getInputStream());
        }
        socket
            .getOutputStream()
            .write(
                ("GET /menu/" + key + " HTTP/1.1\r\nHost: menu.example\r\nShard-Key: " + key
                        + "\r\nRequest-Id: " + request + "\r\nDeadline-Ms: 2000\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        Lab.Message answer = Lab.read(in);
        if (answer == null) {
          throw new IOException("closed");
        }
        outcome = String.valueOf(answer.status());
        if (answer.field("connection").equalsIgnoreCase("close")) {
          close();
        }
      } catch (IOException e) {
        outcome = "none: " + e.getMessage();
        close();
      }
      record.line("answer " + request + " " + outcome);
      return outcome.equals("200");
    }

    private void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // gone already
      }
      socket = null;
    }
  }

  /** Requests that were asked and served while it was the current one. */
  private static final class Tally {
    final AtomicInteger asked = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();

    @Override
    public String toString() {
      return "asked " + asked + ", served " + served;
    }
  }

  public static void main(String[] args) {
    Lab.run(args, HotKeys::run);
  }

  private static int run(boolean trouble, Lab.Store store, Lab.EntryVm vm, Lab.Record record)
      throws Exception {
    for (int i = 0; i < INSTANCES; i++) {
      Holder holder = new Holder("i-7f3a91c2-5d1e-4c3b-9a77-%012x".formatted(77 * i), record);
      store.put("servers", holder.id, holder.row());
    }
    store.put("op", "config", Lab.configuration("menu", "safe", "1000ms", true));
    vm.start();
    if (!vm.awaitReady(20_000) || !awaitServed(vm, record, 15_000)) {
      record.say("no request was served at the start");
      return 2;
    }
    int[] hot = {1000, 30_000};
    AtomicBoolean stop = new AtomicBoolean();
    Tally before = new Tally();
    Tally[] current = {before};
    for (int i = 0; i < CALLERS; i++) {
      Random random = new Random(i);
      Caller caller = new Caller(record);
      Lab.daemon(
          () -> {
            while (!stop.get()) {
              double draw = random.nextDouble();
              int key =
                  trouble && draw < 2 * HOT_SHARE
                      ? hot[draw < HOT_SHARE ? 0 : 1] + random.nextInt(HOT_KEYS)
                      : random.nextInt(KEYS);
              Tally tally = current[0]; // as of the sending
              boolean served = caller.ask(vm.front, key);
              tally.asked.incrementAndGet();
              tally.served.addAndGet(served ? 1 : 0);
              Lab.sleep(served ? 20 : 60);
            }
          });
    }
    Random random = new Random(7);
    changeBusyKeys(hot, random, store, record, MAX_BUSY_MS);
    if (trouble) {
      restart(vm, record, "killed");
      record.say("served again: " + awaitServed(vm, record, 6_000));
      changeBusyKeys(hot, random, store, record, MAX_BUSY_AGAIN_MS);
      record.say("before the final fault: " + before);
      current[0] = new Tally();
      restart(vm, record, "killed again");
      vm.awaitReady(3_000); // at the latest then the process counts as back
    }
    Lab.sleep(RECOVERY_MS);
    Tally judged = new Tally();
    current[0] = judged;
    Lab.sleep(JUDGED_MS);
    current[0] = new Tally();
    Lab.sleep(500); // answers to what was sent in time
    stop.set(true);
    record.say("later than the recovery time: " + judged);
    record.say("largest row " + store.largestRow() + " bytes, refused " + store.refusedRows());
    if (judged.asked.get() == 0 || 4 * before.served.get() < before.asked.get()) {
      return 2;
    }
    return 4 * judged.served.get() < judged.asked.get() ? 1 : 0;
  }

  /** Changes the busy keys until writes of a row were refused three times, or for a time. */
  private static void changeBusyKeys(
      int[] hot, Random random, Lab.Store store, Lab.Record record, long maxMs) {
    long endMs = Lab.nowMs() + maxMs;
    long refusedBefore = store.refusedRows();
    for (int phase = 0; Lab.nowMs() < endMs && store.refusedRows() < refusedBefore + 3; phase++) {
      hot[phase % 2] = random.nextInt(KEYS - HOT_KEYS);
      Lab.sleep(PHASE_MS);
      record.line("largest row " + store.largestRow() + " bytes");
    }
    record.say("largest row " + store.largestRow() + " bytes, refused " + store.refusedRows());
  }

  private static void restart(Lab.EntryVm vm, Lab.Record record, String what) throws IOException {
    vm.kill();
    vm.start();
    record.say("the entry VM was " + what + " and starts again");
  }

  /** Waits until ten requests in a row are served. */
  private static boolean awaitServed(Lab.EntryVm vm, Lab.Record record, long forMs) {
    Caller caller = new Caller(record);
    int inRow = 0;
    for (long untilMs = Lab.nowMs() + forMs; inRow < 10 && Lab.nowMs() < untilMs; ) {
      inRow = caller.ask(vm.front, inRow * 6_500) ? inRow + 1 : 0;
      Lab.sleep(inRow == 0 ? 100 : 10);
    }
    caller.close();
    return inRow == 10;
  }
}
