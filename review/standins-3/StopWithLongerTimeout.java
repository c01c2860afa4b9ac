import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Entry VMs are stopped one after the other, and while each stops, the operators raise the timeout
 * of a route whose requests take longer than it allows. Consumers go on using their connections.
 */
final class StopWithLongerTimeout {

  private static final long WORK_MS = 1400;
  private static final int CONSUMERS = 8;
  private static final long GRACE_MS = 6000;
  private static final boolean RAISE = !"0".equals(System.getenv("RAISE"));

  /** What became of a request. */
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

  private static void configure(Lab3 lab, int number, String timeout) {
    lab.configure(
        number,
        List.of(
            new Lab3.Route("pledge", "/pledge/", "unsafe", timeout, "600ms", "pledge-svc"),
            new Lab3.Route("stock", "/stock/", "safe", "1000ms", "200ms", "pantry-svc")),
        List.of(new Lab3.Service("pledge-svc", false), new Lab3.Service("pantry-svc", false)));
  }

  private static int play(Lab3 lab) throws Exception {
    String[] zones = {"andes-bog", "andes-med", "andes-cal"};
    for (int i = 0; i < 6; i++) {
      lab.new Instance(
          "i-7f3a91c" + i,
          "pledge-svc",
          zones[i % 3],
          false,
          6,
          (instance, request) -> new Lab3.Work(WORK_MS, 400));
      lab.new Instance(
          "i-2b40c7d" + i,
          "pantry-svc",
          zones[i % 3],
          false,
          6,
          (instance, request) -> new Lab3.Work(64, 1500));
    }
    lab.startHeartbeats();
    configure(lab, 7, "1200ms");
    for (int i = 0; i < 3; i++) {
      lab.startVm("edge-" + zones[i] + "-1", zones[i], true);
    }
    lab.awaitReady(20_000);
    Lab3.sleep(4000); // in touch
    double[] stoppedMs = new double[lab.vms.size()];
    int version = 7;
    for (int vm = 0; vm < lab.vms.size(); vm++) {
      List<Thread> consumers = new ArrayList<>();
      double plannedMs = lab.elapsedMs() + 1500;
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
      Lab3.sleep(1000);
      if (RAISE) {
        version += 3;
        configure(lab, version, "2500ms");
      }
      for (Thread consumer : consumers) {
        consumer.join();
      }
      if (RAISE) {
        version += 3;
        configure(lab, version, "1200ms"); // as before, for the next entry VM
      }
      Lab3.sleep(2500);
      if (Lab3.TROUBLE) {
        lab.vms.get(vm).process.waitFor();
        lab.vms.get(vm).start(false);
        lab.awaitReady(20_000);
      }
      Lab3.sleep(3500);
    }
    return judge(lab, stoppedMs);
  }

  /**
   * Opens a connection that is used once before the stop, stays idle, and is used again for a
   * pledge 4.2 to 4.5 s after it; an idle connection may be reused for 12 s.
   */
  private static void consume(Lab3 lab, int vm, int number, double plannedMs) {
    String prefix = String.format("%d%02d%08x", vm, number, (long) plannedMs);
    String id = prefix + "01";
    double sentMs = lab.elapsedMs();
    try (Lab3.Connection connection = new Lab3.Connection(lab.vms.get(vm).callers)) {
      connection.send("GET", "/stock/" + number, id, 800, Map.of(), new byte[0]);
      Lab3.Answer first = connection.receive(3000);
      record(lab, new Outcome(id, vm, sentMs, lab.elapsedMs(), first.status, false));
      Lab3.sleep((long) (plannedMs + 4200 + 40 * number - lab.elapsedMs()));
      id = prefix + "02";
      sentMs = lab.elapsedMs();
      connection.send("POST", "/pledge/" + number, id, 2500, Map.of(), "flour".getBytes());
      Lab3.Answer second = connection.receive(4000);
      record(lab, new Outcome(id, vm, sentMs, lab.elapsedMs(), second.status, false));
    } catch (IOException e) {
      lab.log(id + ": " + e);
      record(lab, new Outcome(id, vm, sentMs, lab.elapsedMs(), 0, true));
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
      boolean ran = lab.instances.stream().anyMatch(i -> i.runs.containsKey(outcome.id()));
      boolean planned = outcome.endedMs() - stoppedMs[outcome.vm()] <= GRACE_MS + 1000;
      boolean excused = sentAfterMs <= 3000 || tookMs >= 2500; // last sixth of grace; time limit
      if (outcome.connectionEnded() && ran && planned && !excused) {
        lost++;
        lab.say(
            "lost: "
                + outcome.id()
                + ", sent "
                + Math.round(sentAfterMs)
                + " ms after SIGTERM, passed on to an instance, cut after "
                + Math.round(tookMs)
                + " ms of 2500 ms");
      }
    }
    lab.say(outcomes.size() + " requests, " + served + " served, " + lost + " lost");
    boolean ran = served >= CONSUMERS;
    lab.say(!ran ? "couldn't run" : lost > 0 ? "LOST is broken" : "LOST holds");
    return !ran ? 2 : lost > 0 ? 1 : 0;
  }
}
