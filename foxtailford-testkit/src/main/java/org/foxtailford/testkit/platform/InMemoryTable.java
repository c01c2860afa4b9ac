package org.foxtailford.testkit.platform;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;

/** Table service in memory; each call completes before it returns. Thread-safe. */
public final class InMemoryTable implements TableService {

  private final Map<String, TableRow> rows = new HashMap<>();

  @Override
  public CompletableFuture<Optional<TableRow>> read(String key) {
    return CompletableFuture.completedFuture(find(key));
  }

  /** Returns the current row, or an empty value if it does not exist. */
  public synchronized Optional<TableRow> find(String key) {
    return Optional.ofNullable(rows.get(key));
  }

  @Override
  public synchronized CompletableFuture<WriteResult> write(
      String key, long expectedVersion, ByteString value) {
    long version = find(key).map(TableRow::version).orElse(ABSENT);
    if (version != expectedVersion) {
      return CompletableFuture.completedFuture(new WriteResult(false, version));
    }
    rows.put(key, new TableRow(key, version + 1, value));
    return CompletableFuture.completedFuture(new WriteResult(true, version + 1));
  }
}
