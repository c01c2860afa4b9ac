import java.io.IOException;
import java.util.List;

/**
 * While an entry VM stops, the operators raise the timeout of a route whose requests take longer
 * than it allows. Consumers go on using their connections.
 */
final class StopWithLongerTimeout extends StopCase {

  private static final boolean RAISE = !"0".equals(System.getenv("RAISE"));
  private static final long WORK_MS = 1400;
  private static final long TIMEOUT_MS = 1200;
  private static final long RAISED_TIMEOUT_MS = 2500;
  private static final long TIME_LIMIT_MS = 2500;

  private int version = 7;

  private StopWithLongerTimeout(Lab3 lab) {
    super(lab);
  }

  public static void main(String[] args) {
    run(args, StopWithLongerTimeout::new);
  }

  @Override
  void setUp() throws IOException {
    createInstances("pledge-svc", "i-7f3a91c", request -> new Lab3.Work(WORK_MS, 400));
    createInstances("pantry-svc", "i-2b40c7d", request -> new Lab3.Work(64, 1500));
    configure(TIMEOUT_MS);
  }

  private void configure(long timeoutMs) {
    lab.configure(
        version,
        List.of(
            new Lab3.Route(
                "pledge", "/pledge/", "unsafe", timeoutMs + "ms", "600ms", "pledge-svc"),
            new Lab3.Route("stock", "/stock/", "safe", "1000ms", "200ms", "pantry-svc")),
        List.of("pledge-svc", "pantry-svc"));
    version += 3;
  }

  @Override
  long leadMs() {
    return 1500;
  }

  @Override
  void onStopping() {
    Lab3.sleep(1000);
    if (RAISE) {
      configure(RAISED_TIMEOUT_MS);
    }
  }

  @Override
  void onConsumersEnded() {
    if (RAISE) {
      configure(TIMEOUT_MS); // as before, for the next entry VM
    }
  }

  /** Uses a connection once before the stop, and for a pledge 4.2 to 4.5 s after it. */
  @Override
  void consume(int vm, int number, double stopMs) {
    String prefix = Lab3.newIdPrefix(vm, number);
    String id = prefix + "01";
    double sentMs = lab.elapsedMs();
    try (Lab3.Connection connection = lab.connect(vm)) {
      connection.send("GET", "/stock/" + number, id, 800, "");
      record(id, vm, sentMs, connection.receive(3000).status);
      Lab3.sleep((long) (stopMs + 4200 + 40 * number - lab.elapsedMs()));
      id = prefix + "02";
      sentMs = lab.elapsedMs();
      connection.send("POST", "/pledge/" + number, id, TIME_LIMIT_MS, "flour");
      record(id, vm, sentMs, connection.receive(4000).status);
    } catch (IOException e) {
      lab.log(id + ": " + e);
      record(id, vm, sentMs, 0);
    }
  }

  @Override
  boolean isExcused(Outcome outcome, double sentAfterStopMs) {
    long timeoutMs = RAISE ? RAISED_TIMEOUT_MS : TIMEOUT_MS;
    return sentAfterStopMs <= 3000 || outcome.tookMs() >= Math.min(timeoutMs, TIME_LIMIT_MS);
  }
}
