package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests that came in while the event loop was held up by a task. */
public class CallersOfALateLoopTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int CALLERS = 40;

  /** Time for which the loop is held up, in milliseconds; longer than the callers wait. */
  private static final long HELD_UP_MS = 600;

  /** Time in which all is read and sent after that, in milliseconds. */
  private static final long CAUGHT_UP_MS = 500;

  private final List<RawCaller> callers = new ArrayList<>();
  private EntryTestCluster cluster;
  private SilentUpstream upstream;
  private RowsThatHoldUpTheLoop rows;
  private EntryVm vm;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    upstream = new SilentUpstream();
    for (String id : List.of("s1", "s2", "s3", "s4", "s5", "s6")) {
      cluster.register(id, "plain", upstream.port());
    }
    rows = new RowsThatHoldUpTheLoop();
    vm = cluster.addVm("vm-1", List.of(), cluster.storeAddress(), rows);
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    rows.release();
    for (RawCaller caller : callers) {
      caller.close();
    }
    callers.clear();
    cluster.close();
    upstream.close();
  }

  @DataProvider
  public Object[][] connections() {
    return new Object[][] {{true}, {false}};
  }

  // GONE: requests were sent on whose callers had closed while the event loop stood still.
  @Test(dataProvider = "connections", timeOut = TIMEOUT_MS)
  public void requestsOfCallersThatLeftMeanwhileAreNotSent(boolean kept) throws Exception {
    if (kept) {
      connect();
    }
    holdUp();
    if (!kept) {
      connect();
    }
    send("");
    for (RawCaller caller : callers) {
      caller.close();
    }
    goOn();
    assertThat(upstream.arrivedAtMs()).as("requests that arrived").isEmpty();
  }

  // GONE: requests were sent on whose callers' deadline had passed while the loop stood still.
  @Test(timeOut = TIMEOUT_MS)
  public void requestsThatMayBeOverAreRefused() throws Exception {
    connect();
    holdUp();
    send("Deadline-Ms: 210\r\n");
    goOn();
    assertThat(upstream.arrivedAtMs()).as("requests that arrived").isEmpty();
    for (RawCaller caller : callers) {
      assertThat(caller.readHead()).startsWith("HTTP/1.1 503").containsIgnoringCase("Retry-After");
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void requestsWithTimeLeftAreSent() throws Exception {
    connect();
    holdUp();
    send("Deadline-Ms: 3000\r\n");
    goOn();
    assertThat(upstream.arrivedAtMs()).as("requests that arrived").hasSize(6 * 4);
  }

  /** Guards against connections, and what was received on them, that outlast their VM. */
  @Test(timeOut = TIMEOUT_MS)
  public void connectionsEndWithAVmThatIsClosedWhileTheLoopIsHeldUp() throws Exception {
    connect();
    holdUp();
    vm.close();
    rows.release();
    for (RawCaller caller : callers) {
      assertThat(caller.readHead()).as("answer to no request").isEmpty();
    }
  }

  private void connect() throws Exception {
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new RawCaller(cluster.settings(0).callers()));
    }
    if (!rows.isHolding()) {
      EntryTestCluster.await(
          "connected",
          () -> cluster.metrics(0).contains("foxtailford_connections_callers " + CALLERS + ".0"));
    }
  }

  private void send(String fields) throws Exception {
    for (int i = 0; i < CALLERS; i++) {
      callers.get(i).begin("GET", "/safe/x", "late" + i, fields).write("\r\n");
    }
  }

  private void holdUp() throws Exception {
    rows.arm();
    cluster.configure(5);
    rows.awaitReached();
  }

  private void goOn() throws Exception {
    TimeUnit.MILLISECONDS.sleep(HELD_UP_MS);
    rows.release();
    TimeUnit.MILLISECONDS.sleep(CAUGHT_UP_MS);
  }
}
