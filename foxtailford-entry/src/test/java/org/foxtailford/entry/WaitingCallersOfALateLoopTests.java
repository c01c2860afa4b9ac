package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests that were read, and wait to be sent, while the event loop is held up by a task. */
public class WaitingCallersOfALateLoopTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int SLOTS = 6 * 4;

  /** Callers, of which some wait for a slot. */
  private static final int CALLERS = 40;

  private static final String SERVED =
      "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n";

  /** Time for which the loop is held up, in milliseconds. */
  private static final long HELD_UP_MS = 700;

  /** Time in which all is read and sent after that, in milliseconds. */
  private static final long CAUGHT_UP_MS = 500;

  private final List<RawCaller> callers = new ArrayList<>();
  private EntryTestCluster cluster;
  private SilentUpstream upstream;
  private RowsThatHoldUpTheLoop rows;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    configure(4);
    upstream = new SilentUpstream();
    for (String id : List.of("s1", "s2", "s3", "s4", "s5", "s6")) {
      cluster.register(id, "plain", upstream.port());
    }
    rows = new RowsThatHoldUpTheLoop();
    cluster.addVm("vm-1", List.of(), cluster.storeAddress(), rows);
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  /** Stores a configuration by which requests may wait for longer than the loop is held up. */
  private void configure(int version) {
    String patient =
        EntryTestCluster.CONFIGURATION.replace("\"1500ms\",\"600ms\"", "\"8000ms\",\"6000ms\"");
    cluster.store().put("op", "config", String.format(patient, version));
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
  public Object[][] lastBytes() {
    return new Object[][] {{""}, {"GET /safe/x HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"}};
  }

  // GONE: slots that became free were given to requests before their callers' ends were read.
  @Test(dataProvider = "lastBytes", timeOut = TIMEOUT_MS)
  public void requestsOfCallersThatLeftMeanwhileAreNotSent(String beforeTheEnd) throws Exception {
    send();
    holdUp();
    upstream.answerAll(SERVED);
    for (RawCaller caller : callers) {
      caller.write(beforeTheEnd).close();
    }
    goOn();
    assertThat(upstream.arrivedAtMs()).as("requests sent").hasSize(SLOTS);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void requestsOfCallersThatStayAreSent() throws Exception {
    send();
    holdUp();
    upstream.answerAll(SERVED);
    goOn();
    assertThat(upstream.arrivedAtMs()).as("requests sent").hasSize(CALLERS);
  }

  // The slots that became free must not all go to requests that came in during the stop.
  @Test(timeOut = TIMEOUT_MS)
  public void requestsThatWaitedGoBeforeThoseReadLate() throws Exception {
    send();
    List<RawCaller> late = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      late.add(begin("late" + i));
    }
    holdUp();
    upstream.answerAll(SERVED);
    for (RawCaller caller : late) {
      caller.write("\r\n");
    }
    goOn();
    assertThat(upstream.arrivedIds()).as("requests sent").hasSize(2 * SLOTS);
    assertThat(upstream.arrivedIds().stream().filter(id -> id.startsWith("waiting")))
        .as("those that waited")
        .hasSize(CALLERS);
  }

  private RawCaller begin(String id) throws Exception {
    RawCaller caller = new RawCaller(cluster.settings(0).callers());
    callers.add(caller);
    return caller.begin("GET", "/safe/x", id, "Deadline-Ms: 8000\r\n");
  }

  private void send() throws Exception {
    for (int i = 0; i < CALLERS; i++) {
      begin("waiting" + i).write("\r\n");
    }
    String waiting = "foxtailford_waiting " + (CALLERS - SLOTS) + ".0";
    EntryTestCluster.await("sent", () -> upstream.working() == SLOTS);
    EntryTestCluster.await("waiting", () -> cluster.metrics(0).contains(waiting));
  }

  private void holdUp() throws Exception {
    rows.arm();
    configure(5);
    rows.awaitReached();
  }

  private void goOn() throws Exception {
    TimeUnit.MILLISECONDS.sleep(HELD_UP_MS);
    rows.release();
    TimeUnit.MILLISECONDS.sleep(CAUGHT_UP_MS);
  }
}
