import java.io.IOException;
import java.util.List;

/**
 * Entry VMs are stopped while consumers send a further safe request on a connection before they
 * have taken the answer to the one before it.
 */
final class StopWhilePipelining extends StopCase {

  private static final int SHEET_BYTES = 90_000;
  private static final long TIME_LIMIT_MS = 1500;

  /** Size of the kernel's receive buffer of a consumer's connection, as on a small device. */
  private static final int RECEIVE_BUFFER_BYTES = 32 << 10;

  /** Time from an instance's whole answer to the further request, in milliseconds. */
  private static final long BEHIND_MS = 100;

  private StopWhilePipelining(Lab3 lab) {
    super(lab);
  }

  public static void main(String[] args) {
    run(args, StopWhilePipelining::new);
  }

  @Override
  void setUp() throws IOException {
    createInstances("pantry-svc", "i-7f3a91c", request -> new Lab3.Work(64, 1500));
    createInstances("sheets-svc", "i-2b40c7d", request -> new Lab3.Work(20, SHEET_BYTES));
    lab.configure(
        7,
        List.of(
            new Lab3.Route("stock", "/stock/", "safe", "800ms", "200ms", "pantry-svc"),
            new Lab3.Route("sheet", "/sheet/", "download", "1500ms", "400ms", "sheets-svc")),
        List.of("pantry-svc", "sheets-svc"));
  }

  @Override
  long leadMs() {
    return 1000;
  }

  /** Gets a sheet before the stop and one 0.3 to 2.4 s after it, with a request behind that. */
  @Override
  void consume(int vm, int number, double stopMs) {
    String prefix = Lab3.newIdPrefix(vm, number);
    String id = prefix + "01";
    double sentMs = lab.elapsedMs();
    try (Lab3.Connection connection = lab.connect(vm, RECEIVE_BUFFER_BYTES)) {
      connection.send("GET", "/sheet/" + number, id, TIME_LIMIT_MS, "");
      record(id, vm, sentMs, connection.receive(4000).status);
      Lab3.sleep((long) (stopMs + 300 + 300 * number - lab.elapsedMs()));
      id = prefix + "02";
      sentMs = lab.elapsedMs();
      connection.send("GET", "/sheet/" + number, id, TIME_LIMIT_MS, "");
      awaitAnswered(id);
      Lab3.sleep(BEHIND_MS);
      try {
        connection.send("GET", "/stock/" + number, prefix + "03", 800, "");
      } catch (IOException e) {
        lab.log(prefix + "03 not sent: " + e); // what was answered before can still be taken
      }
      Lab3.Answer second = connection.receive(4000);
      record(id, vm, sentMs, second.status);
      if (!second.closesConnection()) {
        id = prefix + "03";
        lab.log(id + " answered with " + connection.receive(4000).status);
      }
    } catch (IOException e) {
      lab.log(id + ": " + e);
      if (!id.endsWith("03")) { // sent behind another one
        record(id, vm, sentMs, 0);
      }
    }
  }

  private boolean isAnswered(String id) {
    return lab.instances.stream().anyMatch(i -> "answered".equals(i.runs.get(id)));
  }

  /** Waits until an instance has answered, but not to the end of the time limit. */
  private void awaitAnswered(String id) {
    for (long waitedMs = 0; waitedMs < TIME_LIMIT_MS / 2 && !isAnswered(id); waitedMs += 5) {
      Lab3.sleep(5);
    }
  }

  @Override
  boolean isExcused(Outcome outcome, double sentAfterStopMs) {
    return sentAfterStopMs < 0
        || outcome.tookMs() >= TIME_LIMIT_MS
        || !isAnswered(outcome.id());
  }
}
