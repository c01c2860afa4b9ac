import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 7: downloads over kept connections, beside callers that read slowly. */
final class Downloads {

  private static final int INSTANCES = 24;
  private static final int SLOTS = 6;
  private static final int WORK_MS = 20;

  /** Callers that read at once, each with a connection of its own. */
  private static final int PROMPT = Integer.getInteger("prompt", 2300);

  /** Callers that may read slowly; they ask for the largest answers. */
  private static final int LARGE = 110;

  private static final int PROMPT_BYTES = 90_000;
  private static final int LARGE_BYTES = 540_000;

  /** Bytes a millisecond of a slow reader: an answer takes 1.35 s of its time limit. */
  private static final int SLOW_BYTES_PER_MS = 400;

  private static final int TIME_LIMIT_MS = 1500;

  /** Four fifths of the idle timeout: callers don't reuse a connection that was idle for longer. */
  private static final long MAX_IDLE_MS = 12_000;

  private static final int SENDERS = 24;
  private static final long SEND_INTERVAL_MS = 85;
  private static final long RUN_MS = 60_000;

  /** Number of such ends that the rule allows. */
  private static final int ALLOWED = 3;

  private static final Set<String> taken = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger ids = new AtomicInteger();
  private static final AtomicInteger lost = new AtomicInteger();
  private static final AtomicInteger lostByPrompt = new AtomicInteger();
  private static final AtomicInteger cutWithinAnswer = new AtomicInteger();
  private static final Map<String, Integer> outcomes = new TreeMap<>();

  private Downloads() {}

  /** Answers each request whole; it closes no connection. */
  private static final class Sheets extends Lab.Instance {

    private final Lab.Record record;

    Sheets(String id, Lab.Record record) throws IOException {
      super("sheets", id, SLOTS);
      this.record = record;
    }

    @Override
    byte[] answer(Lab.Message call, String fields) {
      String request = call.field("request-id");
      taken.add(request);
      record.line("run " + request + " at " + id);
      byte[] body = new byte[call.path().endsWith("/large") ? LARGE_BYTES : PROMPT_BYTES];
      Arrays.fill(body, (byte) 'x');
      Lab.sleep(WORK_MS);
      return Lab.answer(200, fields + "Response-Signature: s-" + request + "\r\n", body);
    }
  }

  /** How a download ended. */
  private enum End {
    WHOLE,
    OTHER_STATUS,
    /** The connection ended before a byte of the answer, and before the time limit. */
    CLOSED_WITHOUT_ANSWER,
    CLOSED_WITHIN_ANSWER,
    TIME_UP
  }

  private static final class Caller {

    private final boolean large;
    private final boolean slow;
    private Socket socket;
    private InputStream in;
    private int answers;
    private long idleSinceMs;

    Caller(boolean large, boolean slow) {
      this.large = large;
      this.slow = slow;
    }

    void connectAsNeeded(int port) throws IOException {
      if (socket != null && Lab.nowMs() - idleSinceMs > MAX_IDLE_MS) {
        close();
      }
      if (socket == null) {
        Socket opened = new Socket();
        if (slow) {
          opened.setReceiveBufferSize(16 << 10);
        }
        opened.setTcpNoDelay(true);
        opened.connect(new InetSocketAddress(Lab.LOOPBACK, port), 3000);
        opened.setSoTimeout(TIME_LIMIT_MS + 1000);
        in = slow ? opened.getInputStream() : new BufferedInputStream(opened.getInputStream());
        socket = opened;
        answers = 0;
      }
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // gone already
      }
      socket = null;
    }

    End download(String request) {
      long sentMs = Lab.nowMs();
      boolean begun = false;
      try {
        socket
            .getOutputStream()
            .write(
                ("GET /sheets/" + (large ? "large" : "prompt") + " HTTP/1.1\r\nHost: sheets.example"
                        + "\r\nRequest-Id: " + request + "\r\nDeadline-Ms: " + TIME_LIMIT_MS
                        + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        Lab.Message answer = Lab.readHead(in);
        begun = answer != null;
        if (!begun) {
          return closed(sentMs, false);
        }
        if (!readBody(Integer.parseInt(answer.field("content-length")))) {
          return closed(sentMs, true);
        }
        answers++;
        idleSinceMs = Lab.nowMs();
        if (answer.field("connection").equalsIgnoreCase("close")) {
          close();
        }
        return answer.status() == 200 ? End.WHOLE : End.OTHER_STATUS;
      } catch (SocketTimeoutException e) {
        return End.TIME_UP;
      } catch (IOException e) {
        return closed(sentMs, begun);
      }
    }

    private boolean readBody(int length) throws IOException {
      byte[] part = new byte[16 << 10];
      long beganMs = Lab.nowMs();
      for (int got = 0; got < length; ) {
        int read = in.read(part, 0, Math.min(part.length, length - got));
        if (read < 0) {
          return false;
        }
        got += read;
        if (slow) {
          Lab.sleep(beganMs + got / SLOW_BYTES_PER_MS - Lab.nowMs());
        }
      }
      return true;
    }

    private static End closed(long sentMs, boolean begun) {
      if (Lab.nowMs() - sentMs >= TIME_LIMIT_MS) {
        return End.TIME_UP;
      }
      return begun ? End.CLOSED_WITHIN_ANSWER : End.CLOSED_WITHOUT_ANSWER;
    }
  }

  public static void main(String[] args) {
    Lab.run(args, Downloads::run);
  }

  private static int run(boolean trouble, Lab.Store store, Lab.EntryVm vm, Lab.Record record)
      throws Exception {
    for (int i = 0; i < INSTANCES; i++) {
      Sheets sheets = new Sheets("i-%08x".formatted(0x7f3a0000 + i), record);
      store.put("servers", sheets.id, sheets.row());
    }
    store.put("op", "config", Lab.configuration("sheets", "download", "1500ms", false));
    vm.start();
    if (!vm.awaitReady(20_000)) {
      record.say("the entry VM did not become ready");
      return 2;
    }
    AtomicBoolean stop = new AtomicBoolean();
    List<Thread> largeReaders = new ArrayList<>();
    for (int i = 0; i < LARGE; i++) {
      Caller caller = new Caller(true, trouble);
      largeReaders.add(
          Lab.daemon(
              () -> {
                while (!stop.get()) {
                  long beganMs = Lab.nowMs();
                  download(caller, vm, record);
                  if (!trouble) { // as often as if it read slowly
                    Lab.sleep(beganMs + LARGE_BYTES / SLOW_BYTES_PER_MS - Lab.nowMs());
                  }
                }
              }));
    }
    ConcurrentLinkedQueue<Caller> idle = new ConcurrentLinkedQueue<>();
    for (int i = 0; i < PROMPT; i++) {
      idle.add(new Caller(false, false));
    }
    long endMs = Lab.nowMs() + RUN_MS;
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < SENDERS; i++) {
      senders.add(
          Lab.daemon(
              () -> {
                while (Lab.nowMs() < endMs) {
                  long beganMs = Lab.nowMs();
                  Caller caller = idle.remove();
                  download(caller, vm, record);
                  idle.add(caller);
                  Lab.sleep(beganMs + SEND_INTERVAL_MS - Lab.nowMs());
                }
              }));
    }
    for (Thread sender : senders) {
      sender.join();
    }
    stop.set(true);
    for (Thread reader : largeReaders) {
      reader.join(TIME_LIMIT_MS + 2000);
    }
    outcomes.forEach((outcome, count) -> record.say(outcome + ": " + count));
    record.say("meter, no request open: " + vm.meter("foxtailford_answers_unsent_bytes"));
    record.say(
        "requests on kept connections that an instance took, closed without an answer in time: "
            + lost + ", of callers that read at once " + lostByPrompt + "; closed within an answer: "
            + cutWithinAnswer);
    if (!vm.isAlive()) {
      record.say("the entry VM has ended");
      return 1;
    }
    return lost.get() > ALLOWED ? 1 : 0;
  }

  private static void download(Caller caller, Lab.EntryVm vm, Lab.Record record) {
    try {
      caller.connectAsNeeded(vm.front);
    } catch (IOException e) {
      count(caller, "not connected");
      Lab.sleep(200);
      return;
    }
    boolean kept = caller.answers > 0;
    String request = "%016x".formatted(0x9c41d07b00000000L + ids.incrementAndGet());
    record.line("send " + request + (kept ? " on a kept connection" : " on a new connection"));
    End end = caller.download(request);
    record.line("end " + request + " " + end + (caller.slow ? ", slow reader" : ""));
    count(caller, end.name());
    if (end != End.WHOLE && caller.socket != null) {
      caller.close();
    }
    if (kept && taken.contains(request)) {
      if (end == End.CLOSED_WITHOUT_ANSWER) {
        lost.incrementAndGet();
        lostByPrompt.addAndGet(caller.slow ? 0 : 1);
      } else if (end == End.CLOSED_WITHIN_ANSWER) {
        cutWithinAnswer.incrementAndGet();
      }
    }
  }

  private static synchronized void count(Caller caller, String outcome) {
    outcomes.merge((caller.large ? "large answers: " : "read at once: ") + outcome, 1, Integer::sum);
  }
}
