import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A case of the rule LOST around planned stops: three entry VMs are stopped one after the other and
 * started again, while consumers use connections to the one that stops.
 */
abstract class StopCase {

  private static final int CONSUMERS = 8;
  private static final long GRACE_MS = 6000;
  private static final long CONTACT_MS = 3000;
  private static final long CONFIG_APPLY_MS = 2000;
  private static final long READY_TIMEOUT_MS = 15_000;
  private static final String[] ZONES = {"andes-bog", "andes-med", "andes-cal"};

  /** What became of a request; the status is 0 if its connection ended without an answer. */
  record Outcome(String id, int vm, double sentMs, double endedMs, int status) {

    double tookMs() {
      return endedMs - sentMs;
    }
  }

  final Lab3 lab;
  private final List<Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());
  private final double[] stoppedMs = new double[ZONES.length];

  StopCase(Lab3 lab) {
    this.lab = lab;
  }

  /** Creates the instances and writes the first configuration. */
  abstract void setUp() throws IOException;

  /** Returns the time from the start of the consumers to the stop, in milliseconds. */
  abstract long leadMs();

  /**
   * Sends a consumer's requests and records what becomes of them.
   *
   * @param stopMs when the entry VM is stopped, in milliseconds since the start
   */
  abstract void consume(int vm, int number, double stopMs);

  /** Returns whether the rule doesn't count a request that was passed on and got no answer. */
  abstract boolean isExcused(Outcome outcome, double sentAfterStopMs);

  /** Called after the stop has begun. */
  void onStopping() {}

  /** Called when the consumers have ended. */
  void onConsumersEnded() {}

  /** Creates a case. */
  interface Factory {
    StopCase create(Lab3 lab);
  }

  /** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 otherwise. */
  static void run(String[] args, Factory factory) {
    int status = 2;
    try (Lab3 lab = new Lab3(Path.of(args[0]), Path.of(args[1]))) {
      status = factory.create(lab).play();
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  final void createInstances(String service, String idPrefix, Lab3.Worker worker)
      throws IOException {
    for (int i = 0; i < 6; i++) {
      lab.new Instance(idPrefix + i, service, ZONES[i % ZONES.length], worker);
    }
  }

  private int play() throws Exception {
    setUp();
    lab.startHeartbeats();
    for (String zone : ZONES) {
      lab.startVm("edge-" + zone + "-1", zone);
    }
    lab.awaitReady(READY_TIMEOUT_MS);
    Lab3.sleep(CONTACT_MS + 1000);
    for (int vm = 0; vm < ZONES.length; vm++) {
      stop(vm);
      Lab3.sleep(Math.max(CONTACT_MS, CONFIG_APPLY_MS) + 1000);
    }
    return judge();
  }

  private void stop(int vm) throws Exception {
    List<Thread> consumers = new ArrayList<>();
    double stopMs = lab.elapsedMs() + leadMs();
    for (int i = 0; i < CONSUMERS; i++) {
      int number = i;
      Thread consumer = new Thread(() -> consume(vm, number, stopMs), "consumer " + i);
      consumers.add(consumer);
      consumer.start();
    }
    Lab3.sleep((long) (stopMs - lab.elapsedMs()));
    stoppedMs[vm] = Double.POSITIVE_INFINITY;
    if (Lab3.TROUBLE) {
      stoppedMs[vm] = lab.elapsedMs();
      lab.vms.get(vm).signal("TERM");
    }
    onStopping();
    for (Thread consumer : consumers) {
      consumer.join();
    }
    onConsumersEnded();
    if (Lab3.TROUBLE) {
      lab.vms.get(vm).process.waitFor();
      lab.vms.get(vm).start(false);
      lab.awaitReady(READY_TIMEOUT_MS);
    }
  }

  /** Records the end of a request. */
  final void record(String id, int vm, double sentMs, int status) {
    Outcome outcome = new Outcome(id, vm, sentMs, lab.elapsedMs(), status);
    outcomes.add(outcome);
    lab.log(
        "%s at entry VM %d sent at %.0f ms, %s after %.0f ms"
            .formatted(
                id,
                vm,
                sentMs,
                status == 0 ? "connection ended" : "status " + status,
                outcome.tookMs()));
  }

  private int judge() {
    int lost = 0;
    int served = 0;
    for (Outcome outcome : outcomes) {
      served += outcome.status() == 200 ? 1 : 0;
      double sentAfterMs = outcome.sentMs() - stoppedMs[outcome.vm()];
      double endedAfterMs = outcome.endedMs() - stoppedMs[outcome.vm()];
      boolean planned = endedAfterMs >= 0 && endedAfterMs <= GRACE_MS + 1000;
      boolean passedOn = lab.instances.stream().anyMatch(i -> i.runs.containsKey(outcome.id()));
      if (outcome.status() == 0 && planned && passedOn && !isExcused(outcome, sentAfterMs)) {
        lost++;
        lab.say(
            "lost: %s, sent %.0f ms after SIGTERM, cut after %.0f ms"
                .formatted(outcome.id(), sentAfterMs, outcome.tookMs()));
      }
    }
    lab.say(outcomes.size() + " requests, " + served + " served, " + lost + " lost");
    boolean couldRun = served >= CONSUMERS;
    lab.say(!couldRun ? "couldn't run" : lost > 0 ? "LOST is broken" : "LOST holds");
    return !couldRun ? 2 : lost > 0 ? 1 : 0;
  }
}
