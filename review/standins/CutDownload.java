import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers send downloads before earlier ones are answered, while some instances break off part of
 * their answers. Requests that sound instances answer in full must not be lost with them.
 */
final class CutDownload extends Case {

  private static final int INSTANCES = 8;
  private static final int CONSUMERS = 20;
  private static final double FAULTY_SHARE = 0.5;
  private static final double BREAK_SHARE = 0.02;
  private static final long TROUBLE_MS = 5000;
  private static final long PLAY_MS = 7000;
  private static final long INTERVAL_MS = 60;
  private static final int ANSWER_BYTES = 90_000;
  private static final long DEADLINE_MS = 1500;
  private static final int ALLOWED = 3;

  private final Set<String> whole = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile long troubleUntilNanos;

  public static void main(String[] arguments) {
    run(new CutDownload(), arguments);
  }

  private final class Sheets extends InstanceStandIn {
    private final boolean breaks;
    private int seen;

    Sheets(int number, boolean breaks) throws IOException {
      super("i-sheets" + number, "sheets-svc", "z" + number % 3, 6, false, record);
      this.breaks = breaks;
    }

    @Override
    long workMs(Http request) {
      return 130;
    }

    @Override
    byte[] answerBody(Http request) {
      return new byte[ANSWER_BYTES];
    }

    private synchronized boolean breaksOff() {
      if (!breaks || System.nanoTime() >= troubleUntilNanos) {
        return false;
      }
      seen++;
      return (int) (seen * BREAK_SHARE) > (int) ((seen - 1) * BREAK_SHARE);
    }

    @Override
    void write(Connection connection, byte[] head, byte[] body) throws IOException {
      if (body.length > 0 && breaksOff()) {
        broken.incrementAndGet();
        super.write(connection, head, Arrays.copyOf(body, body.length * 2 / 3));
        throw new IOException("breaks off an answer");
      }
      super.write(connection, head, body);
    }

    @Override
    void onRun(Http request) {
      if (!breaks) {
        whole.add(request.header("Request-Id", ""));
      }
    }
  }

  @Override
  String prepare(Deployment deployment) throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      deployment.add(new Sheets(i, i < FAULTY_SHARE * INSTANCES));
    }
    deployment.addVm("edge-1", "z0");
    deployment.addVm("edge-2", "z1");
    return Deployment.config(
        7,
        "[\"r-sheet\",\"sheet.example\",\"/sheet/\",\"download\",\"1500ms\",\"400ms\",2,"
            + "\"sheets-svc\",2,null]",
        Deployment.service("sheets-svc", false));
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
    record.say("%d sent, %d answered, %d answers broken off by instances,"
            + " %d passed on to a sound instance and not answered, %d are allowed",
        sent.get(), answered.get(), broken.get(), lost.get(), ALLOWED);
    return lost.get() > ALLOWED;
  }

  private void consume(Deployment deployment, int number) {
    Deployment.Vm vm = deployment.vms.get(number % deployment.vms.size());
    long endNanos = System.nanoTime() + PLAY_MS * 1_000_000;
    for (int connection = 0; System.nanoTime() < endNanos; connection++) {
      List<String> open = new ArrayList<>();
      try (Socket socket = new Socket("127.0.0.1", vm.front)) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(3000);
        Thread reader = new Thread(() -> read(socket, open));
        reader.start();
        OutputStream out = socket.getOutputStream();
        for (int i = 0; System.nanoTime() < endNanos && reader.isAlive(); i++) {
          String requestId = "sh-" + number + "-" + connection + "-" + i;
          String request = "GET /sheet/" + requestId + " HTTP/1.1\r\nHost: sheet.example\r\n"
              + "Request-Id: " + requestId + "\r\nDeadline-Ms: " + DEADLINE_MS + "\r\n\r\n";
          synchronized (open) {
            open.add(requestId);
          }
          sentNanos.put(requestId, System.nanoTime());
          out.write(request.getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
          sent.incrementAndGet();
          record.line("sent %s", requestId);
          Thread.sleep(INTERVAL_MS);
        }
        reader.join(3000);
      } catch (IOException e) {
        record.line("consumer %d: %s", number, e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void read(Socket socket, List<String> open) {
    try {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http answer = Http.readHead(in); answer != null; answer = Http.readHead(in)) {
        String requestId = answer.header("Request-Id", "");
        synchronized (open) {
          open.remove(requestId);
        }
        answer.readBody(in);
        record.line("answered %s: %s", requestId, answer.firstLine);
        answered.incrementAndGet();
        if (answer.closes()) {
          return;
        }
      }
    } catch (IOException e) {
      record.line("no further answer: %s", e.getMessage());
    } finally {
      judge(open);
    }
  }

  private void judge(List<String> open) {
    synchronized (open) {
      for (String requestId : open) {
        long ageMs = (System.nanoTime() - sentNanos.get(requestId)) / 1_000_000;
        if (ageMs < DEADLINE_MS && whole.contains(requestId)) {
          lost.incrementAndGet();
          record.say("LOST: %s was passed on to a sound instance, its connection closes after"
              + " %d ms without an answer", requestId, ageMs);
        }
      }
    }
  }
}
