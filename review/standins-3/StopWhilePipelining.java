import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Entry VMs are stopped one after the other. Consumers send a further safe request on a connection
 * before they have taken the answer to the one before it.
 */
final class StopWhilePipelining {

  private static final int CONSUMERS = 8;
  private static final long GRACE_MS = 6000;
  private static final int SHEET_BYTES =
      Integer.parseInt(System.getenv().getOrDefault("SHEET_BYTES", "90000"));

  /** Size of the kernel's receive buffer of a consumer's connection, as on a small device. */
  private static final int RECEIVE_BUFFER_BYTES = 32 << 10;

  private static final long TIME_LIMIT_MS = 1500;

  /** What became of a sheet. */
  private record Outcome(
      String id, int vm, double sentMs, double endedMs, int status, boolean connectionEnded) {}

  private static final List<Outcome> outcomes =
      java.util.Collections.synchronizedList(new ArrayList<>());

  public static void main(String[] args) {
    int status = 2; // also if the case fails by itself
    try (Lab3 lab = new Lab3(Path.of(args[0]), Path.of(args[1]))) {
      status = play(lab);
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  private static int play(Lab3 lab) throws Exception {
    String[] zones = {"andes-bog", "andes-med", "andes-cal"};
    for (int i = 0; i < 6; i++) {
      lab.new Instance(
          "i-7f3a91c" + i,
          "pantry-svc",
          zones[i % 3],
          false,
          6,
          (instance, request) -> new Lab3.Work(64, 1500));
      lab.new Instance(
          "i-2b40c7d" + i,
          "sheets-svc",
          zones[i % 3],
          false,
          6,
          (instance, request) -> new Lab3.Work(20, SHEET_BYTES));
    }
    lab.startHeartbeats();
    lab.configure(
        7,
        List.of(
            new Lab3.Route("stock", "/stock/", "safe", "800ms", "200ms", "pantry-svc"),
            new Lab3.Route("sheet", "/sheet/", "download", "1500ms", "400ms", "sheets-svc")),
        List.of(new Lab3.Service("pantry-svc", false), new Lab3.Service("sheets-svc", false)));
    for (int i = 0; i < 3; i++) {
      lab.startVm("edge-" + zones[i] + "-1", zones[i], true);
    }
    lab.awaitReady(20_000);
    Lab3.sleep(4000); // in touch
    double[] stoppedMs = new double[lab.vms.size()];
    for (int vm = 0; vm < lab.vms.size(); vm++) {
      List<Thread> consumers = new ArrayList<>();
      double plannedMs = lab.elapsedMs() + 1000;
      for (int i = 0; i < CONSUMERS; i++) {
        int vmNumber = vm;
        int number = i;
        Thread consumer = new Thread(() -> consume(lab, vmNumber, number, plannedMs));
        consumers.add(consumer);
        consumer.start();
      }
      Lab3.sleep((long) (plannedMs - lab.elapsedMs()));
      stoppedMs[vm] = Double.POSITIVE_INFINITY;
      if (Lab3.TROUBLE) {
        stoppedMs[vm] = lab.elapsedMs();
        lab.vms.get(vm).signal("TERM");
      }
      for (Thread consumer : consumers) {
        consumer.join();
      }
      if (Lab3.TROUBLE) {
        lab.vms.get(vm).process.waitFor();
        lab.vms.get(vm).start(false);
        lab.awaitReady(20_000);
      }
      Lab3.sleep(4500); // in touch again, by `contact`
    }
    return judge(lab, stoppedMs);
  }

  /**
   * Uses a connection for a first sheet before the stop, and for a second one 0.3 to 2.4 s after
   * it; sends a further request 0.1 s behind the second one, and then takes the answers.
   */
  private static void consume(Lab3 lab, int vm, int number, double plannedMs) {
    String prefix = String.format("%d%02d%08x", vm, number, System.nanoTime() & 0xffffffffL);
    String id = prefix + "01";
    double sentMs = lab.elapsedMs();
    try (Lab3.Connection connection = new Lab3.Connection(lab.vms.get(vm).callers, RECEIVE_BUFFER_BYTES)) {
      connection.send("GET", "/sheet/" + number, id, TIME_LIMIT_MS, Map.of(), new byte[0]);
      Lab3.Answer first = connection.receive(4000);
      record(lab, new Outcome(id, vm, sentMs, lab.elapsedMs(), first.status, false));
      Lab3.sleep((long) (plannedMs + 300 + 300 * number - lab.elapsedMs()));
      id = prefix + "02";
      sentMs = lab.elapsedMs();
      connection.send("GET", "/sheet/" + number, id, TIME_LIMIT_MS, Map.of(), new byte[0]);
      Lab3.sleep(100);
      try {
        connection.send("GET", "/stock/" + number, prefix + "03", 800, Map.of(), new byte[0]);
      } catch (IOException e) {
        lab.log(prefix + "03 not sent: " + e); // what was answered before can still be taken
      }
      Lab3.Answer second = connection.receive(4000);
      record(lab, new Outcome(id, vm, sentMs, lab.elapsedMs(), second.status, false));
      if (!"close".equalsIgnoreCase(second.headers.get("connection"))) {
        id = prefix + "03";
        lab.log(id + " answered with " + connection.receive(4000).status);
      }
    } catch (IOException e) {
      lab.log(id + ": " + e);
      if (!id.endsWith("03")) { // sent behind another one
        record(lab, new Outcome(id, vm, sentMs, lab.elapsedMs(), 0, true));
      }
    }
  }

  private static void record(Lab3 lab, Outcome outcome) {
    outcomes.add(outcome);
    lab.log(
        outcome.id()
            + " at entry VM "
            + outcome.vm()
            + " sent at "
            + Math.round(outcome.sentMs())
            + " ms, "
            + (outcome.connectionEnded() ? "connection ended" : "status " + outcome.status())
            + " after "
            + Math.round(outcome.endedMs() - outcome.sentMs())
            + " ms");
  }

  private static int judge(Lab3 lab, double[] stoppedMs) {
    int lost = 0;
    int served = 0;
    for (Outcome outcome : outcomes) {
      served += outcome.status() == 200 ? 1 : 0;
      double tookMs = outcome.endedMs() - outcome.sentMs();
      double sentAfterMs = outcome.sentMs() - stoppedMs[outcome.vm()];
      boolean answered =
          lab.instances.stream().anyMatch(i -> "answered".equals(i.runs.get(outcome.id())));
      boolean planned =
          sentAfterMs >= 0 && outcome.endedMs() - stoppedMs[outcome.vm()] <= GRACE_MS + 1000;
      if (outcome.connectionEnded() && answered && planned && tookMs < TIME_LIMIT_MS) {
        lost++;
        lab.say(
            "lost: "
                + outcome.id()
                + ", sent "
                + Math.round(sentAfterMs)
                + " ms after SIGTERM, answered whole by an instance, cut after "
                + Math.round(tookMs)
                + " ms of "
                + TIME_LIMIT_MS);
      }
    }
    lab.say(outcomes.size() + " sheets, " + served + " served, " + lost + " lost");
    boolean ran = served >= CONSUMERS;
    lab.say(!ran ? "couldn't run" : lost > 0 ? "LOST is broken" : "LOST holds");
    return !ran ? 2 : lost > 0 ? 1 : 0;
  }
}
