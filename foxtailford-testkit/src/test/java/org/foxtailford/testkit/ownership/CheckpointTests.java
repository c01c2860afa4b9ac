package org.foxtailford.testkit.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.ownership.CheckpointReader;
import org.foxtailford.core.ownership.CheckpointWriter;
import org.foxtailford.core.platform.ObjectStore;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.foxtailford.testkit.time.FakeMillisClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CheckpointTests {

  private FakeMillisClock clock;
  private FlakyTable table;
  private Objects objects;
  private CheckpointWriter writer;
  private long writeIds;

  /** Counts writes; may fail calls, before or after they took effect. */
  private static final class FlakyTable implements TableService {

    private final InMemoryTable rows = new InMemoryTable();
    private boolean down;
    private boolean answersLost;
    private int writes;

    @Override
    public CompletableFuture<Optional<TableRow>> read(String key) {
      return down ? CompletableFuture.failedFuture(new IllegalStateException()) : rows.read(key);
    }

    @Override
    public CompletableFuture<WriteResult> write(String key, long version, ByteString value) {
      if (down) {
        return CompletableFuture.failedFuture(new IllegalStateException());
      }
      writes++;
      CompletableFuture<WriteResult> result = rows.write(key, version, value);
      return answersLost ? CompletableFuture.failedFuture(new IllegalStateException()) : result;
    }
  }

  private static final class Objects implements ObjectStore {

    private final Map<String, ByteString> contents = new HashMap<>();

    @Override
    public CompletableFuture<Optional<ByteString>> get(String name) {
      return CompletableFuture.completedFuture(Optional.ofNullable(contents.get(name)));
    }

    @Override
    public CompletableFuture<Void> put(String name, ByteString content) {
      contents.put(name, content);
      return CompletableFuture.completedFuture(null);
    }
  }

  @BeforeMethod
  public void createWriter() {
    clock = new FakeMillisClock();
    clock.advance(1000);
    table = new FlakyTable();
    objects = new Objects();
    writer = newWriter();
  }

  private CheckpointWriter newWriter() {
    return new CheckpointWriter("dc-a", table, objects, clock, () -> ++writeIds, Runnable::run);
  }

  private static OwnershipCheckpoint checkpoint(long epoch, long sequence) {
    return OwnershipCheckpoint.newBuilder()
        .setDataCentre("dc-a")
        .setEpoch(epoch)
        .setSequence(sequence)
        .build();
  }

  private long loadedSequence() {
    return new CheckpointReader(table, objects).load("dc-a").join().orElseThrow().getSequence();
  }

  @Test
  public void versionsThatFollowEachOtherAreMergedIntoTwoWritesASecond() {
    for (int i = 1; i <= 100; i++) {
      writer.publish(checkpoint(1, i));
      clock.advance(10);
    }
    clock.advance(500);
    writer.tick();
    assertThat(table.writes).isBetween(2, 4);
    assertThat(loadedSequence()).isEqualTo(100);
  }

  @Test
  public void aWriteWhoseAnswerWasLostIsNotRepeated() {
    table.answersLost = true;
    writer.publish(checkpoint(1, 1));
    clock.advance(1000);
    writer.tick();
    assertThat(table.writes).isEqualTo(1);
    assertThat(loadedSequence()).isEqualTo(1);
  }

  @Test
  public void anOutageDelaysTheWrite() {
    table.down = true;
    writer.publish(checkpoint(1, 1));
    table.down = false;
    clock.advance(500);
    writer.tick();
    assertThat(table.writes).isEqualTo(1);
  }

  @Test
  public void anOlderLeaderDoesNotReplaceANewerVersion() {
    newWriter().publish(checkpoint(2, 7));
    clock.advance(500);
    writer.publish(checkpoint(1, 9));
    clock.advance(500);
    writer.tick();
    assertThat(loadedSequence()).isEqualTo(7);
  }

  @Test
  public void theSnapshotServesWhileTheTableIsDown() {
    writer.publish(checkpoint(1, 3));
    table.down = true;
    assertThat(loadedSequence()).isEqualTo(3);
  }
}
