import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hot keys make the leader move ranges, while instances repeat a few of their answers late. No key
 * may be granted to an instance while another one is still at work on it.
 */
final class LateRelease extends Case {

  private static final int INSTANCES = 8;
  private static final int LATE_INSTANCES = 4;
  private static final int CONSUMERS = 40;
  private static final int ROUNDS = 6;
  private static final long ROUND_MS = 9000;
  private static final long TROUBLE_MS = 5000;
  private static final double LATE_SHARE = 0.03;
  private static final double HOT_SHARE = 0.4;
  private static final int HOT_KEYS = 200;
  private static final long HOT_MS = 5000;

  private final AtomicInteger releases = new AtomicInteger();
  private final AtomicInteger repeated = new AtomicInteger();
  private final AtomicInteger ran = new AtomicInteger();
  private final AtomicInteger violations = new AtomicInteger();
  private final List<Menu> menus = new ArrayList<>();
  private volatile long troubleUntilNanos;
  private volatile int hotKey;
  private volatile long hotUntilNanos;
  private volatile boolean ended;

  public static void main(String[] arguments) {
    run(new LateRelease(), arguments);
  }

  private final class Menu extends InstanceStandIn {
    private final boolean late;
    private final Random random = new Random(id.hashCode());
    private int answers;
    private int repeats;

    Menu(int number, boolean late) throws IOException {
      super("i-menu" + number, "menu-svc", "z" + number % 2, 6, true, record);
      this.late = late;
    }

    /** Starts counting anew, since the share of late answers holds for each round. */
    synchronized void beginRound() {
      answers = 0;
      repeats = 0;
    }

    @Override
    synchronized long workMs(Http request) {
      return (long) Math.min(1200, 160 * Math.exp(0.8 * random.nextGaussian()));
    }

    @Override
    synchronized void onRun(Http request) {
      ran.incrementAndGet();
      if (System.nanoTime() < troubleUntilNanos) {
        answers++;
      }
    }

    @Override
    void onGranted(Http grant) {
      var body = Json.object(Json.parse(new String(grant.body, StandardCharsets.UTF_8)));
      int from = (int) number(body.get("from"));
      int to = (int) number(body.get("to"));
      for (Menu other : menus) {
        int key = other == this ? -1 : other.keyAtWork(from, to);
        if (key >= 0) {
          violations.incrementAndGet();
          record.say("OWNER: %s is granted %d-%d while %s is at work on key %d", id, from, to,
              other.id, key);
        }
      }
    }

    @Override
    synchronized void onReleased(Http release, byte[] answer, Connection connection) {
      releases.incrementAndGet();
      record.line("%s: released %s", id, new String(release.body, StandardCharsets.UTF_8));
      if (late && System.nanoTime() < troubleUntilNanos && repeats + 1 <= LATE_SHARE * answers) {
        repeats++;
        connection.late = answer;
      }
    }

    @Override
    void beforeRelease(Http release, Connection connection) throws IOException {
      record.line("%s: is to release %s", id, new String(release.body, StandardCharsets.UTF_8));
      if (connection.late != null) {
        byte[] answer = connection.late;
        connection.late = null;
        if (System.nanoTime() < troubleUntilNanos) {
          repeated.incrementAndGet();
          record.line("%s: repeats its answer to the release before", id);
          write(connection, answer, new byte[0]);
        }
      }
    }
  }

  @Override
  String prepare(Deployment deployment) throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      Menu menu = new Menu(i, i < LATE_INSTANCES);
      menus.add(menu);
      deployment.add(menu);
    }
    deployment.addVm("edge-1", "z0");
    deployment.addVm("edge-2", "z1");
    return Deployment.config(
        7,
        "[\"r-menu\",\"menu.example\",\"/menu/\",\"safe\",\"1000ms\",\"500ms\",2,"
            + "\"menu-svc\",2,null]",
        Deployment.service("menu-svc", true));
  }

  @Override
  boolean play(Deployment deployment) throws Exception {
    Thread.sleep(3000);
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      int number = i;
      Thread consumer = new Thread(() -> consume(deployment, number));
      consumer.start();
      consumers.add(consumer);
    }
    Random random = new Random(40);
    for (int round = 0; round < ROUNDS; round++) {
      hotKey = random.nextInt(65536 - HOT_KEYS);
      menus.forEach(Menu::beginRound);
      record.line("round %d: hot keys from %d", round, hotKey);
      hotUntilNanos = System.nanoTime() + HOT_MS * 1_000_000;
      troubleUntilNanos = trouble ? System.nanoTime() + TROUBLE_MS * 1_000_000 : 0;
      Thread.sleep(ROUND_MS);
    }
    ended = true;
    for (Thread consumer : consumers) {
      consumer.join();
    }
    record.say("%d requests ran, %d releases, %d answers to releases repeated late,"
        + " %d grants of keys at work", ran.get(), releases.get(), repeated.get(),
        violations.get());
    return violations.get() > 0;
  }

  private void consume(Deployment deployment, int number) {
    Deployment.Vm vm = deployment.vms.get(number % deployment.vms.size());
    Random random = new Random(number);
    for (int i = 0; !ended; i++) {
      String requestId = "me-" + number + "-" + i;
      boolean hot = System.nanoTime() < hotUntilNanos && random.nextDouble() < HOT_SHARE;
      int key = hot
          ? hotKey + random.nextInt(HOT_KEYS) : random.nextInt(65536);
      try (Socket socket = new Socket("127.0.0.1", vm.front)) {
        socket.setSoTimeout(4000);
        String request = "GET /menu/" + requestId + " HTTP/1.1\r\nHost: menu.example\r\n"
            + "Request-Id: " + requestId + "\r\nDeadline-Ms: 2000\r\nShard-Key: " + key
            + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        out.write(request.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
        if (answer == null || answer.status() != 200) {
          record.line("answered %s: %s", requestId, answer == null ? "nothing" : answer.firstLine);
          Thread.sleep(100);
        }
      } catch (IOException e) {
        record.line("no answer to %s: %s", requestId, e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
