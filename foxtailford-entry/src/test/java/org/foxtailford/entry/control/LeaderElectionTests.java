package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.range.EarlierGrants;
import org.foxtailford.core.range.LeaderVacancyDetector;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.schema.entry.LeaderRecord;
import org.foxtailford.schema.entry.RenewalRecord;
import org.foxtailford.testkit.simulation.EventQueue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** For how long a new leader waits, by what the leader record says of those before. */
public class LeaderElectionTests {

  private static final String NODE = "vm";
  private static final long INCARNATION = 7;
  private static final UpstreamAddress ADDRESS = new UpstreamAddress("10.0.0.1", 1000);
  private static final long WINDOW_MS = LeadershipTiming.GRANT_RENEWAL_WINDOW_MS;

  private EventQueue events;
  private SimulatedStore store;
  private RowStore link;

  @BeforeMethod
  public void begin() {
    events = new EventQueue();
    store = new SimulatedStore(events);
    link = store.new Link();
  }

  private LeaderElection.Acquired acquire() {
    LeaderElection.Acquired[] acquired = new LeaderElection.Acquired[1];
    LeaderElection election =
        new LeaderElection(
            NODE,
            INCARNATION,
            ADDRESS,
            link,
            new LeaderVacancyDetector(0),
            events::nowMs,
            Runnable::run,
            () -> 0,
            true,
            observed -> {},
            leadership -> acquired[0] = leadership);
    while (acquired[0] == null && events.nowMs() < 10_000) {
      election.poll(false, true);
      events.runUntil(events.nowMs() + 50);
    }
    return acquired[0];
  }

  private long leftMs() {
    return acquire().earlierGrants().leftMs(events.nowMs());
  }

  private void write(LeaderRecord.Builder record, Optional<RenewalRecord> renewal) {
    store.put(SystemTables.LEADER, SystemTables.LEADER_KEY, record.build().toByteArray());
    renewal.ifPresent(
        row -> store.put(SystemTables.LEADER, SystemTables.RENEWAL_KEY, row.toByteArray()));
  }

  /** Returns the record of an earlier incarnation of this VM. */
  private static LeaderRecord.Builder ownRecord() {
    return LeaderRecord.newBuilder()
        .setNode(NODE)
        .setLife(INCARNATION - 1)
        .setTerm(3)
        .setHost(ADDRESS.host())
        .setPort(ADDRESS.port());
  }

  private static Optional<RenewalRecord> renewal(long term, long leftMs) {
    return Optional.of(
        RenewalRecord.newBuilder().setTerm(term).setEarlierGrantsLeftMs(leftMs).build());
  }

  @Test
  public void firstLeaderWaitsForNobody() {
    LeaderElection.Acquired acquired = acquire();
    assertThat(acquired.firstLeader()).isTrue();
    assertThat(acquired.earlierGrants().leftMs(events.nowMs())).isZero();
  }

  @Test
  public void newestStatementOfTheEarlierIncarnationCounts() {
    write(ownRecord().setEarlierGrantsLeftMs(6000), renewal(3, 0));
    LeaderElection.Acquired acquired = acquire();
    assertThat(acquired.earlierGrants().leftMs(events.nowMs())).isZero();
    assertThat(acquired.firstLeader()).as("a map may have been written").isFalse();
  }

  @Test
  public void renewalOfAnEarlierTermSaysNothing() {
    write(ownRecord().setEarlierGrantsLeftMs(5000), renewal(2, 0));
    assertThat(leftMs()).isBetween(5000L - 50, 5000L);
  }

  @Test
  public void recordWithoutAStatementMeansTheLongestTime() {
    write(ownRecord(), Optional.of(RenewalRecord.newBuilder().setTerm(3).build()));
    assertThat(leftMs()).isBetween(WINDOW_MS - 50, WINDOW_MS);
  }

  /** A VM that was replaced at another address may still run and lead. */
  @Test
  public void holderOfTheSameNameAtAnotherAddressHasNotEnded() {
    write(ownRecord().setHost("10.0.0.2").setEarlierGrantsLeftMs(0), Optional.empty());
    LeaderElection.Acquired acquired = acquire();
    assertThat(events.nowMs()).isGreaterThanOrEqualTo(LeadershipTiming.VACANCY_TIMEOUT_MS);
    assertThat(acquired.earlierGrants())
        .isEqualTo(EarlierGrants.afterTakeover(acquired.earlierGrants().untilMs() - WINDOW_MS));
    assertThat(acquired.earlierGrants().leftMs(events.nowMs())).isGreaterThan(WINDOW_MS - 100);
  }

  @Test
  public void unreadableRecordDoesNotMeanThatNobodyHasLed() {
    store.put(SystemTables.LEADER, SystemTables.LEADER_KEY, new byte[] {-1, -1, -1});
    LeaderElection.Acquired acquired = acquire();
    assertThat(acquired.firstLeader()).isFalse();
    assertThat(acquired.earlierGrants().leftMs(events.nowMs())).isGreaterThan(WINDOW_MS - 100);
  }

  @Test
  public void recordStatesWhatIsLeft() throws InvalidProtocolBufferException {
    write(ownRecord().setEarlierGrantsLeftMs(4000), Optional.empty());
    acquire();
    assertThat(writtenLeftMs()).isBetween(3900L, 4000L);
  }

  private long writtenLeftMs() throws InvalidProtocolBufferException {
    CompletableFuture<RowPage> page = link.readAll(SystemTables.LEADER, 100);
    events.runUntil(events.nowMs() + 50);
    Row row = LeaderElection.row(page.join(), SystemTables.LEADER_KEY).orElseThrow();
    return LeaderRecord.parseFrom(row.value()).getEarlierGrantsLeftMs();
  }

  /**
   * The other VM may lead until the write is carried out, which may be seconds after its sending.
   */
  @Test
  public void tryWithoutAnAnswerCountsFromItsAdoption() {
    write(ownRecord().setNode("other"), renewal(3, 0));
    RowStore sound = link;
    link = new FirstAnswerLost(sound);
    LeaderElection.Acquired acquired = acquire();
    assertThat(acquired.leader().term()).isEqualTo(4);
    assertThat(acquired.earlierGrants().leftMs(events.nowMs())).isGreaterThan(WINDOW_MS - 100);
  }

  @Test
  public void takeoverStatesTheWholeTime() throws InvalidProtocolBufferException {
    write(ownRecord().setNode("other").setEarlierGrantsLeftMs(0), renewal(3, 0));
    acquire();
    assertThat(writtenLeftMs()).isEqualTo(WINDOW_MS);
  }

  /** Store that carries out the first write without an answer. */
  private static final class FirstAnswerLost implements RowStore {

    private final RowStore store;
    private boolean lost;

    FirstAnswerLost(RowStore store) {
      this.store = store;
    }

    @Override
    public long era() {
      return store.era();
    }

    @Override
    public CompletableFuture<RowPage> readAll(String table, long timeoutMs) {
      return store.readAll(table, timeoutMs);
    }

    @Override
    public CompletableFuture<RowPage> readChanges(
        String table, StoreVersion after, long waitMs, long timeoutMs) {
      return store.readChanges(table, after, waitMs, timeoutMs);
    }

    @Override
    public CompletableFuture<Optional<StoreVersion>> write(
        List<RowWrite> rows, long era, long timeoutMs) {
      CompletableFuture<Optional<StoreVersion>> answer = store.write(rows, era, timeoutMs);
      if (lost) {
        return answer;
      }
      lost = true;
      return answer.thenCompose(
          version -> CompletableFuture.failedFuture(new IllegalStateException("answer lost")));
    }
  }
}
