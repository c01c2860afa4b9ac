package org.foxtailford.daemon.control;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.testkit.platform.InMemoryTable;

/**
 * A table whose calls take effect and are answered in random order. While faults are enabled, calls
 * and answers are lost, and calls that were reported as failed may take effect later. Not
 * thread-safe.
 */
final class SteppedTable implements TableService {

  private final InMemoryTable rows = new InMemoryTable();
  private final RandomGenerator random;
  private final List<Runnable> pending = new ArrayList<>();
  private final List<TableRow> accepted = new ArrayList<>();
  private final String watchedKey;
  private boolean faulty = true;

  SteppedTable(RandomGenerator random, String watchedKey) {
    this.random = random;
    this.watchedKey = watchedKey;
  }

  /** Returns every version of the watched row in write order. */
  List<TableRow> accepted() {
    return accepted;
  }

  void disableFaults() {
    faulty = false;
  }

  /** Runs a random pending step and returns whether there was one. */
  boolean step() {
    if (pending.isEmpty()) {
      return false;
    }
    pending.remove(random.nextInt(pending.size())).run();
    return true;
  }

  @Override
  public CompletableFuture<Optional<TableRow>> read(String key) {
    return call(() -> rows.find(key));
  }

  @Override
  public CompletableFuture<WriteResult> write(String key, long expectedVersion, ByteString value) {
    return call(() -> writeNow(key, expectedVersion, value));
  }

  private WriteResult writeNow(String key, long expectedVersion, ByteString value) {
    WriteResult result = rows.write(key, expectedVersion, value).join();
    if (result.applied() && key.equals(watchedKey)) {
      accepted.add(new TableRow(key, result.version(), value));
    }
    return result;
  }

  private <T> CompletableFuture<T> call(Supplier<T> effect) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    pending.add(() -> takeEffect(effect, answer));
    return answer;
  }

  private <T> void takeEffect(Supplier<T> effect, CompletableFuture<T> answer) {
    int fault = faulty ? random.nextInt(10) : -1;
    switch (fault) {
      case 0:
        fail(answer);
        break;
      case 1:
        effect.get();
        fail(answer);
        break;
      case 2:
        pending.add(effect::get);
        fail(answer);
        break;
      default:
        T result = effect.get();
        pending.add(() -> answer.complete(result));
    }
  }

  private void fail(CompletableFuture<?> answer) {
    pending.add(
        () ->
            answer.completeExceptionally(
                new ResultCodeException(ResultCode.PLATFORM_UNAVAILABLE, "no answer")));
  }
}
