import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers send safe requests before earlier ones are answered, while the entry VMs get SIGTERM
 * in turn and start again. Each request that it passed on to an instance must be answered.
 */
final class PipelinedStop extends Case {

  private static final int INSTANCES = 16;
  private static final int CONSUMERS = 36;
  private static final long INTERVAL_MS = 40;
  private static final long BEFORE_MS = 4000;
  private static final long GAP_MS = 2000;
  private static final long PLAY_MS = 14_000;
  private static final long WORK_MEAN_MS = 64;
  private static final long DEADLINE_MS = 800;

  private final Set<String> run = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger notPassedOn = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  public static void main(String[] arguments) {
    run(new PipelinedStop(), arguments);
  }

  private final class Pantry extends InstanceStandIn {
    private final Random random = new Random(id.hashCode());

    Pantry(int number) throws IOException {
      super("i-pantry" + number, "pantry-svc", "z" + number % 3, 6, false, record);
    }

    @Override
    synchronized long workMs(Http request) {
      double spread = Math.exp(0.3 * random.nextGaussian());
      return (long) Math.min(480, WORK_MEAN_MS * spread * (random.nextInt(100) == 0 ? 5 : 1));
    }

    @Override
    void onRun(Http request) {
      run.add(request.header("Request-Id", ""));
    }
  }

  @Override
  String prepare(Deployment deployment) throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      deployment.add(new Pantry(i));
    }
    for (int i = 0; i < 3; i++) {
      deployment.addVm("edge-" + (i + 1), "z" + i);
    }
    return Deployment.config(
        7,
        "[\"r-stock\",\"pantry.example\",\"/stock/\",\"safe\",\"800ms\",\"200ms\",1,"
            + "\"pantry-svc\",2,null]",
        Deployment.service("pantry-svc", false));
  }

  @Override
  boolean play(Deployment deployment) throws Exception {
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      int number = i;
      Thread consumer = new Thread(() -> consume(deployment, number));
      consumer.start();
      consumers.add(consumer);
    }
    Thread.sleep(BEFORE_MS);
    if (trouble) {
      for (Deployment.Vm vm : deployment.vms) {
        deployment.terminate(vm);
        new Thread(() -> startAgain(deployment, vm)).start();
        Thread.sleep(GAP_MS);
      }
    }
    for (Thread consumer : consumers) {
      consumer.join();
    }
    record.say(
        "%d sent, %d answered, %d not passed on before the connection ended,"
            + " %d passed on to an instance and not answered",
        sent.get(), answered.get(), notPassedOn.get(), lost.get());
    return lost.get() > 0;
  }

  private void startAgain(Deployment deployment, Deployment.Vm vm) {
    try {
      vm.process.waitFor();
      deployment.startVm(vm);
    } catch (IOException e) {
      record.line("%s not started again: %s", vm.node, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends at a steady pace on one connection, and leaves it once an answer says it closes. */
  private void consume(Deployment deployment, int number) {
    Deployment.Vm vm = deployment.vms.get(number % deployment.vms.size());
    List<String> open = new ArrayList<>();
    try (Socket socket = new Socket("127.0.0.1", vm.front)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(3000);
      Thread reader = new Thread(() -> read(socket, open));
      reader.start();
      OutputStream out = socket.getOutputStream();
      long endNanos = System.nanoTime() + PLAY_MS * 1_000_000;
      for (int i = 0; System.nanoTime() < endNanos && reader.isAlive(); i++) {
        String requestId = "st-" + number + "-" + i;
        String request = "GET /stock/" + requestId + " HTTP/1.1\r\nHost: pantry.example\r\n"
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
      reader.join();
    } catch (IOException e) {
      record.line("consumer %d: %s", number, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void read(Socket socket, List<String> open) {
    try {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http answer = Http.read(in); answer != null; answer = Http.read(in)) {
        String requestId = answer.header("Request-Id", "");
        record.line("answered %s: %s%s", requestId, answer.firstLine,
            answer.closes() ? ", connection closes" : "");
        answered.incrementAndGet();
        synchronized (open) {
          open.remove(requestId);
        }
        if (answer.closes()) {
          return;
        }
      }
      record.line("connection ended");
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
        if (ageMs < DEADLINE_MS && run.contains(requestId)) {
          lost.incrementAndGet();
          record.say("LOST: %s was run by an instance, its connection closes after %d ms without"
              + " an answer", requestId, ageMs);
        } else {
          notPassedOn.incrementAndGet();
        }
      }
    }
  }
}
