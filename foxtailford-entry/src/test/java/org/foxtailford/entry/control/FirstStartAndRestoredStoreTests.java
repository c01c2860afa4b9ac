package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.range.LeaderVacancyDetector;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.testng.annotations.Test;

/** A VM that runs since the first start finds an empty store that was restored meanwhile. */
public class FirstStartAndRestoredStoreTests {

  @Test
  public void storeThatLostTheLeaderItKnewHasNotBeenWithoutALeader() {
    LeaderElection.Acquired[] acquired = new LeaderElection.Acquired[1];
    LeaderElection election =
        new LeaderElection(
            "vm",
            7,
            new UpstreamAddress("10.0.0.1", 1000),
            new EmptyStoreOfEraOne(),
            new LeaderVacancyDetector(0),
            () -> 5000,
            Runnable::run,
            () -> 5, // this process has seen term 5, of another VM
            true,
            observed -> {},
            leadership -> acquired[0] = leadership);
    election.poll(false, true);
    assertThat(acquired[0]).isNotNull();
    assertThat(acquired[0].firstLeader()).isFalse();
    assertThat(acquired[0].earlierGrants().leftMs(5000)).isEqualTo(6000);
  }

  private static final class EmptyStoreOfEraOne implements RowStore {

    @Override
    public long era() {
      return 1;
    }

    @Override
    public CompletableFuture<RowPage> readAll(String table, long timeoutMs) {
      return CompletableFuture.completedFuture(
          new RowPage(List.of(), new StoreVersion(1, 1), true));
    }

    @Override
    public CompletableFuture<RowPage> readChanges(
        String table, StoreVersion after, long waitMs, long timeoutMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Optional<StoreVersion>> write(
        List<RowWrite> rows, long era, long timeoutMs) {
      return CompletableFuture.completedFuture(Optional.of(new StoreVersion(1, 2)));
    }
  }
}
