package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.range.EarlierGrants;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.schema.entry.LeaderRecord;
import org.foxtailford.schema.entry.RenewalRecord;
import org.testng.annotations.Test;

public class LeaderTasksTests {

  private final PendingStore store = new PendingStore();
  private long nowMs = 1000;
  private final LeaderTasks tasks = newTasks();

  private LeaderTasks newTasks() {
    ControlClocks clocks = ControlClocks.of(() -> nowMs, () -> nowMs);
    UpstreamAddress address = new UpstreamAddress("127.0.0.1", 1);
    return new LeaderTasks(
        new LeaderElection.Acquired(
            new KnownLeader("vm", 1, 7, address, new StoreVersion(0, 3)),
            true,
            new EarlierGrants(nowMs + 5000),
            new LeaderElection.Previous("", 0, "no leader yet"),
            nowMs),
        store,
        null,
        new EntryRoutingState(new ControlWorld.NumberRows(), clocks, "vm"),
        null,
        null,
        new Ignoring(),
        clocks,
        Runnable::run);
  }

  /** Guards against a leader that grants after a pause in which another VM may have taken over. */
  @Test
  public void confirmationThatWasAskedForBeforeAPauseDoesNotCount() {
    tasks.tick();
    CompletableFuture<Optional<StoreVersion>> before = store.lastWrite;
    nowMs += 5000;
    tasks.onPause();
    before.complete(Optional.of(new StoreVersion(0, 4)));
    assertThat(tasks.confirmedAgeMs()).isGreaterThan(LeadershipTiming.GRANT_RENEWAL_WINDOW_MS);
    nowMs++;
    tasks.tick();
    assertThat(store.lastWrite).isNotSameAs(before);
    store.lastWrite.complete(Optional.of(new StoreVersion(0, 5)));
    assertThat(tasks.confirmedAgeMs()).isZero();
  }

  @Test
  public void renewalsAndTheResignationStateForHowLongEarlierLeadersMayGrant() throws Exception {
    LeaderTasks leading = newTasks();
    long startedMs = nowMs;
    leading.tick();
    RenewalRecord renewal = RenewalRecord.parseFrom(store.lastRows.get(1).value());
    assertThat(renewal.getEarlierGrantsLeftMs()).isEqualTo(5000);
    nowMs = startedMs + 2000;
    leading.resign("for the test");
    LeaderRecord record = LeaderRecord.parseFrom(store.lastRows.get(0).value());
    assertThat(record.getResigned()).isTrue();
    assertThat(record.getEarlierGrantsLeftMs()).isEqualTo(3000);
  }

  /** Store whose writes are answered by the test. */
  private static final class PendingStore implements RowStore {

    private CompletableFuture<Optional<StoreVersion>> lastWrite = new CompletableFuture<>();
    private List<RowWrite> lastRows = List.of();

    @Override
    public long era() {
      return 0;
    }

    @Override
    public CompletableFuture<RowPage> readAll(String table, long timeoutMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<RowPage> readChanges(
        String table, StoreVersion afterVersion, long waitMs, long timeoutMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Optional<StoreVersion>> write(
        List<RowWrite> rows, long era, long timeoutMs) {
      lastRows = rows;
      lastWrite = new CompletableFuture<>();
      return lastWrite;
    }
  }

  private static final class Ignoring implements LeaderTasks.Listener {

    @Override
    public void onOwnersWritten(String service, RowPage page) {}

    @Override
    public void onReleases(String service, List<RangeAssignment> ranges) {}

    @Override
    public void onLeadershipKept(KnownLeader leader) {}

    @Override
    public void onLeadershipLost(String reason) {}
  }
}
