package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.range.KeyLoadHistory;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeCandidate;
import org.foxtailford.core.range.RangeCommand;
import org.foxtailford.core.range.RangeCommandClient;
import org.foxtailford.core.range.RangeController;
import org.foxtailford.core.range.RangeMap;
import org.foxtailford.core.range.RangeOwner;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.testkit.simulation.EventQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A grant that is sent late is in force for longer than its planning has reckoned. */
public class LateGrantTests {

  private static final RangeTiming TIMING = new RangeTiming(3000, 800, 300, 700, 3000, 100);
  private static final RangeOwner OWNER = new RangeOwner("u", 1);
  private static final KeyRange ALL = new KeyRange(0, KeyRange.KEYS - 1);

  private long nowMs;

  @DataProvider
  public Object[][] delays() {
    return new Object[][] {{0L}, {150L}, {690L}, {700L}, {2000L}};
  }

  @Test(dataProvider = "delays")
  public void grantIsNotSentLaterThanItsExpiryIsReckonedFor(long delayMs) {
    nowMs = 1000;
    List<Long> sendByMs = new ArrayList<>();
    RangeController controller = ownedByOne();
    RangeExecutor executor = newExecutor(controller, sendByMs);
    List<RangeCandidate> candidates = List.of(new RangeCandidate(OWNER, 4, false));
    List<RangeCommand> commands = controller.nextCommands(candidates, false, nowMs);
    RangeCommand.Write write = (RangeCommand.Write) commands.get(0);
    controller.onWritten(write, 8, nowMs);
    long plannedMs = nowMs;
    commands = controller.nextCommands(candidates, false, plannedMs);
    assertThat(commands).hasAtLeastOneElementOfType(RangeCommand.Grant.class);
    nowMs += delayMs; // the planning of other services, a long task, a collection of garbage
    executor.execute(commands, plannedMs);
    assertThat(sendByMs).allMatch(byMs -> byMs <= plannedMs + TIMING.callTimeoutMs());
    assertThat(sendByMs).hasSize(delayMs < TIMING.callTimeoutMs() ? 1 : 0);
  }

  /** A grant that was planned in time and not sent says nothing of the upstream. */
  @Test
  public void upstreamIsNotExcludedBecauseTheLeaderWasLate() {
    nowMs = 1000;
    List<Long> sendByMs = new ArrayList<>();
    RangeController controller = ownedByOne();
    RangeExecutor executor = newExecutor(controller, sendByMs);
    List<RangeCandidate> candidates = List.of(new RangeCandidate(OWNER, 4, false));
    List<RangeCommand> commands = controller.nextCommands(candidates, false, nowMs);
    controller.onWritten((RangeCommand.Write) commands.get(0), 8, nowMs);
    long plannedMs = nowMs;
    commands = controller.nextCommands(candidates, false, plannedMs);
    nowMs += TIMING.callTimeoutMs();
    executor.execute(commands, plannedMs);
    nowMs += TIMING.retryIntervalMs() + 50;
    commands = controller.nextCommands(candidates, false, nowMs);
    assertThat(controller.assignments()).as("keys still assigned to their owner").hasSize(1);
    assertThat(commands).hasAtLeastOneElementOfType(RangeCommand.Grant.class);
  }

  private static RangeController ownedByOne() {
    RangeMap map = new RangeMap(7, 0, List.of(new RangeAssignment(ALL, OWNER, 50)));
    long[] fence = {100};
    return new RangeController(
        TIMING, () -> ++fence[0], new KeyLoadHistory(), map, true, 0, expired -> {});
  }

  private RangeExecutor newExecutor(RangeController controller, List<Long> sendByMs) {
    RowStore store = new SimulatedStore(new EventQueue()).new Link();
    return new RangeExecutor(
        "service",
        controller,
        TIMING,
        new RecordingClient(sendByMs),
        owner -> Optional.of(new UpstreamAddress("127.0.0.1", 1)),
        store,
        () -> new StoreVersion(0, 1),
        new Ignoring(),
        () -> nowMs,
        Runnable::run);
  }

  /** Client that answers nothing and records until when each grant may be sent. */
  private final class RecordingClient implements RangeCommandClient {

    private final List<Long> sendByMs;

    RecordingClient(List<Long> sendByMs) {
      this.sendByMs = sendByMs;
    }

    @Override
    public CompletableFuture<GrantResult> grant(
        String upstream,
        UpstreamAddress address,
        KeyRange range,
        long fence,
        long grantTtlMs,
        Optional<String> handover,
        OptionalLong session,
        long timeoutMs) {
      sendByMs.add(nowMs + timeoutMs);
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ReleaseResult> release(
        String upstream, UpstreamAddress address, KeyRange range, long fence, long timeoutMs) {
      return new CompletableFuture<>();
    }
  }

  private static final class Ignoring implements RangeExecutor.Listener {

    @Override
    public void onWritten(String service, byte[] value, StoreVersion version) {}

    @Override
    public void onReleases(String service, List<RangeAssignment> ranges) {}

    @Override
    public void onGrantsDue() {}

    @Override
    public void onConflict(String service) {}
  }
}
