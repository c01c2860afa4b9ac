import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Entry VMs are stopped one after the other while they pass on long answers. Each consumer sends
 * its next request on the connection on which it has just got such an answer.
 */
final class StopAfterLongAnswer {

  private static final int CONSUMERS = 8;
  private static final long GRACE_MS = 6000;
  private static final long PLEDGE_WORK_MS = number("PLEDGE_MS", 900);

  /** Time from the begin of the first consumer's sheet to its end; 75 ms more for each next one. */
  private static final long SHEET_MS = number("SHEET_MS", 5200);
  private static final long PLEDGE_TIMEOUT_MS = 4000;

  /** What became of a request. */
  private record Outcome(
      String id, int vm, double sentMs, double endedMs, int status, boolean connectionEnded) {}

  private static final List<Outcome> outcomes =
      java.util.Collections.synchronizedList(new ArrayList<>());

  private static long number(String name, long fallback) {
    return Long.parseLong(System.getenv().getOrDefault(name, Long.toString(fallback)));
  }

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
          "pledge-svc",
          zones[i % 3],
          false,
          6,
          (instance, request) -> new Lab3.Work(PLEDGE_WORK_MS, 400));
      lab.new Instance(
          "i-2b40c7d" + i,
          "sheets-svc",
          zones[i % 3],
          false,
          6,
          (instance, request) ->
              new Lab3.Work(
                  200, 180_000, Long.parseLong(request.path().replaceAll(".*/", "")), false));
    }
    lab.startHeartbeats();
    lab.configure(
        7,
        List.of(
            new Lab3.Route(
                "pledge", "/pledge/", "unsafe", PLEDGE_TIMEOUT_MS + "ms", "2047ms", "pledge-svc"),
            new Lab3.Route("sheet", "/sheet/", "download", "8500ms", "2139ms", "sheets-svc")),
        List.of(new Lab3.Service("pledge-svc", false), new Lab3.Service("sheets-svc", false)));
    for (int i = 0; i < 3; i++) {
      lab.startVm("edge-" + zones[i] + "-1", zones[i], true);
    }
    lab.awaitReady(20_000);
    Lab3.sleep(4000); // in touch
    double[] stoppedMs = new double[lab.vms.size()];
    for (int vm = 0; vm < lab.vms.size(); vm++) {
      List<Thread> consumers = new ArrayList<>();
      for (int i = 0; i < CONSUMERS; i++) {
        int vmNumber = vm;
        int number = i;
        Thread consumer = new Thread(() -> consume(lab, vmNumber, number));
        consumers.add(consumer);
        consumer.start();
      }
      Lab3.sleep(700);
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

  /** Gets a sheet, which ends 4.7 to 5.3 s after the stop began, and sends a pledge at once. */
  private static void consume(Lab3 lab, int vm, int number) {
    String prefix = String.format("%d%02d%08x", vm, number, System.nanoTime() & 0xffffffffL);
    String id = prefix + "01";
    double sentMs = lab.elapsedMs();
    try (Lab3.Connection connection = new Lab3.Connection(lab.vms.get(vm).callers)) {
      connection.send("GET", "/sheet/" + (SHEET_MS + 75 * number), id, 8500, Map.of(), new byte[0]);
      Lab3.Answer first = connection.receive(9000);
      record(lab, new Outcome(id, vm, sentMs, lab.elapsedMs(), first.status, false));
      if ("close".equalsIgnoreCase(first.headers.get("connection"))) {
        return;
      }
      id = prefix + "02";
      sentMs = lab.elapsedMs();
      connection.send("POST", "/pledge/" + number, id, 8000, Map.of(), "flour".getBytes());
      Lab3.Answer second = connection.receive(9000);
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
      boolean excused = sentAfterMs <= 3000 || tookMs >= PLEDGE_TIMEOUT_MS;
      if (outcome.connectionEnded() && ran && planned && !excused) {
        lost++;
        lab.say(
            "lost: "
                + outcome.id()
                + ", sent "
                + Math.round(sentAfterMs)
                + " ms after SIGTERM, passed on to an instance, cut after "
                + Math.round(tookMs)
                + " ms of "
                + PLEDGE_TIMEOUT_MS);
      }
    }
    lab.say(outcomes.size() + " requests, " + served + " served, " + lost + " lost");
    boolean ran = served >= CONSUMERS;
    lab.say(!ran ? "couldn't run" : lost > 0 ? "LOST is broken" : "LOST holds");
    return !ran ? 2 : lost > 0 ? 1 : 0;
  }
}
