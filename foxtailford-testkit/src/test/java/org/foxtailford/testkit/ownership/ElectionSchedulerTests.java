package org.foxtailford.testkit.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import org.foxtailford.core.ownership.ElectionScheduler;
import org.foxtailford.core.ownership.LeaseCandidates;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.foxtailford.testkit.time.FakeMillisClock;
import org.testng.Reporter;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ElectionSchedulerTests {

  private static final OwnershipTiming TIMING = new OwnershipTiming(600, 200, 700, 10_000, 0);
  private static final int ROUNDS_PER_SECOND = 5;
  private static final int SECONDS = 60;

  private final LeaseCandidates candidates = new LeaseCandidates("dc-a", 3);
  private FakeMillisClock clock;
  private InMemoryTable table;
  private Set<String> cutOff;
  private List<String> vms;
  private List<LeaseElection> elections;
  private long reads;
  private long writeIds;

  @BeforeMethod
  public void reset() {
    clock = new FakeMillisClock();
    table = new InMemoryTable();
    cutOff = new HashSet<>();
    elections = new ArrayList<>();
    reads = 0;
  }

  @DataProvider
  public Object[][] counts() {
    return new Object[][] {{10}, {100}, {370}};
  }

  @Test(dataProvider = "counts")
  public void readsHardlyGrowWithTheNumberOfEntryVms(int count) {
    run(electionsOf(count).stream().<Runnable>map(election -> election::tick).toList(), SECONDS);
    double before = reads / (double) SECONDS;
    reset();
    run(roundsOf(count), SECONDS);
    double after = reads / (double) SECONDS;
    Reporter.log(
        "%d entry VMs: %.1f reads of the lease row a second, %.1f with candidates"
            .formatted(count, before, after),
        true);
    assertThat(after).isLessThan(3 * ROUNDS_PER_SECOND + count / 5.0);
    assertThat(leaders()).isEqualTo(1);
  }

  @Test
  public void anotherVmLeadsWhenAllCandidatesAreCutOffFromTheTable() {
    List<Runnable> rounds = roundsOf(10);
    run(rounds, SECONDS);
    cutOff.addAll(candidates.choose(vms));
    run(rounds, SECONDS);
    assertThat(leaders()).isEqualTo(1);
  }

  private long leaders() {
    return elections.stream().filter(election -> election.lease().isPresent()).count();
  }

  private void run(List<Runnable> ticks, int seconds) {
    for (int i = 0; i < seconds * ROUNDS_PER_SECOND; i++) {
      clock.advance(TIMING.renewIntervalMs());
      ticks.forEach(Runnable::run);
    }
  }

  private List<Runnable> roundsOf(int count) {
    List<LeaseElection> all = electionsOf(count);
    return IntStream.range(0, count)
        .mapToObj(i -> new ElectionScheduler(vms.get(i), all.get(i), candidates, () -> vms))
        .<Runnable>map(rounds -> rounds::tick)
        .toList();
  }

  private List<LeaseElection> electionsOf(int count) {
    vms = IntStream.range(0, count).mapToObj(i -> "entry-" + i).toList();
    elections = vms.stream().map(this::election).toList();
    return elections;
  }

  private LeaseElection election(String vm) {
    return new LeaseElection(
        "leader-dc-a", vm, 1, TIMING, tableOf(vm), clock, () -> ++writeIds, Runnable::run);
  }

  private TableService tableOf(String vm) {
    return new TableService() {
      @Override
      public CompletableFuture<Optional<TableRow>> read(String key) {
        reads++;
        return cutOff.contains(vm) ? failed() : table.read(key);
      }

      @Override
      public CompletableFuture<WriteResult> write(String key, long expected, ByteString value) {
        return cutOff.contains(vm) ? failed() : table.write(key, expected, value);
      }
    };
  }

  private static <T> CompletableFuture<T> failed() {
    return CompletableFuture.failedFuture(new TimeoutException("cut off"));
  }
}
