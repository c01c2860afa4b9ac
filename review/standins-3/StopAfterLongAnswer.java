import java.io.IOException;
import java.util.List;

/**
 * Entry VMs are stopped while they pass on long answers. Each consumer sends its next request on
 * the connection on which it has just got such an answer.
 */
final class StopAfterLongAnswer extends StopCase {

  private static final long PLEDGE_WORK_MS = number("PLEDGE_MS", 900);
  private static final long PLEDGE_TIMEOUT_MS = 4000;

  /** Time from the begin of the first consumer's sheet to its end; 75 ms more for each next one. */
  private static final long SHEET_MS = number("SHEET_MS", 5200);

  private StopAfterLongAnswer(Lab3 lab) {
    super(lab);
  }

  public static void main(String[] args) {
    run(args, StopAfterLongAnswer::new);
  }

  private static long number(String name, long fallback) {
    return Long.parseLong(System.getenv().getOrDefault(name, Long.toString(fallback)));
  }

  @Override
  void setUp() throws IOException {
    createInstances("pledge-svc", "i-7f3a91c", request -> new Lab3.Work(PLEDGE_WORK_MS, 400));
    createInstances(
        "sheets-svc",
        "i-2b40c7d",
        request ->
            new Lab3.Work(200, 180_000, Long.parseLong(request.path().replaceAll(".*/", ""))));
    lab.configure(
        7,
        List.of(
            new Lab3.Route(
                "pledge", "/pledge/", "unsafe", PLEDGE_TIMEOUT_MS + "ms", "2047ms", "pledge-svc"),
            new Lab3.Route("sheet", "/sheet/", "download", "8500ms", "2139ms", "sheets-svc")),
        List.of("pledge-svc", "sheets-svc"));
  }

  @Override
  long leadMs() {
    return 700;
  }

  /** Gets a sheet that ends some seconds after the stop has begun, and sends a pledge at once. */
  @Override
  void consume(int vm, int number, double stopMs) {
    String prefix = Lab3.newIdPrefix(vm, number);
    String id = prefix + "01";
    double sentMs = lab.elapsedMs();
    try (Lab3.Connection connection = lab.connect(vm)) {
      connection.send("GET", "/sheet/" + (SHEET_MS + 75 * number), id, 8500, "");
      Lab3.Answer sheet = connection.receive(9000);
      record(id, vm, sentMs, sheet.status);
      if (!sheet.closesConnection()) {
        id = prefix + "02";
        sentMs = lab.elapsedMs();
        connection.send("POST", "/pledge/" + number, id, 8000, "flour");
        record(id, vm, sentMs, connection.receive(9000).status);
      }
    } catch (IOException e) {
      lab.log(id + ": " + e);
      record(id, vm, sentMs, 0);
    }
  }

  @Override
  boolean isExcused(Outcome outcome, double sentAfterStopMs) {
    return sentAfterStopMs <= 3000 || outcome.tookMs() >= PLEDGE_TIMEOUT_MS;
  }
}
