package org.foxtailford.core.configuration;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationVersion;

/**
 * Stores the most recently replaced configuration versions in a ring of table rows.
 *
 * <p>The row of a version is determined by its base version, that is the version that it replaced.
 * Since no version has two successors, two operators never write different content for the same
 * base version. Thread-safe.
 */
final class ConfigurationHistory {

  /** Number of rows in the ring, and thus the maximum number of versions stored. */
  static final int CAPACITY = 100;

  private static final String ROW_PREFIX = "configuration-history-";

  private final TableService table;

  ConfigurationHistory(TableService table) {
    this.table = Assert.notNull(table, "table");
  }

  /**
   * Stores a version unless its row already contains it or a later one.
   *
   * @return whether the row is known to contain this version or a later one; false if another write
   *     changed the row at the same time
   */
  CompletableFuture<Boolean> save(ConfigurationVersion version) {
    String row = rowOf(version.getRecord().getBaseVersion());
    return table.read(row).thenCompose(existing -> replace(row, existing, version));
  }

  private CompletableFuture<Boolean> replace(
      String row, Optional<TableRow> existing, ConfigurationVersion version) {
    long base = version.getRecord().getBaseVersion();
    boolean alreadySaved =
        existing
            .map(ConfigurationRecords::parseHistory)
            .filter(old -> old.getRecord().getBaseVersion() >= base)
            .isPresent();
    if (alreadySaved) {
      return CompletableFuture.completedFuture(true);
    }
    long rowVersion = existing.map(TableRow::version).orElse(TableService.ABSENT);
    ByteString value = version.toByteString();
    return table.write(row, rowVersion, value).thenApply(result -> result.applied());
  }

  /**
   * Returns the content of the row reserved for the successor of a version; the row may contain the
   * successor of another version, so callers must compare the base version.
   */
  CompletableFuture<Optional<ConfigurationVersion>> readSuccessorRow(long version) {
    return table
        .read(rowOf(version))
        .thenApply(existing -> existing.map(ConfigurationRecords::parseHistory));
  }

  /** Returns all stored versions, newest first. */
  CompletableFuture<List<ConfigurationVersion>> readAll() {
    List<CompletableFuture<Optional<ConfigurationVersion>>> reads = new ArrayList<>();
    for (int i = 0; i < CAPACITY; i++) {
      reads.add(readSuccessorRow(i));
    }
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenApply(
            ignored ->
                reads.stream()
                    .flatMap(read -> read.join().stream())
                    .sorted(Comparator.comparingLong(ConfigurationVersion::getVersion).reversed())
                    .toList());
  }

  private static String rowOf(long baseVersion) {
    return ROW_PREFIX + baseVersion % CAPACITY;
  }
}
