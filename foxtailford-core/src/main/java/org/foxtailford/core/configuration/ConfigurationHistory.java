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
 * The last accepted versions that were replaced, in a ring of rows of the table.
 *
 * <p>The row of a version follows from the version that it replaced. Since no version has two
 * successors, two operators never write different content for the same place. Thread-safe.
 */
final class ConfigurationHistory {

  /** Number of versions that are kept. */
  static final int CAPACITY = 100;

  private static final String PREFIX = "configuration-history-";

  private final TableService table;

  ConfigurationHistory(TableService table) {
    this.table = Assert.notNull(table, "table");
  }

  /**
   * Keeps a version.
   *
   * @return whether it is certain that it, or a later one in its place, is kept
   */
  CompletableFuture<Boolean> keep(ConfigurationVersion version) {
    String row = rowOf(version.getRecord().getBaseVersion());
    return table.read(row).thenCompose(found -> replace(row, found, version));
  }

  private CompletableFuture<Boolean> replace(
      String row, Optional<TableRow> found, ConfigurationVersion version) {
    long base = version.getRecord().getBaseVersion();
    boolean kept =
        found
            .map(ConfigurationRecords::parseHistory)
            .filter(old -> old.getRecord().getBaseVersion() >= base)
            .isPresent();
    if (kept) {
      return CompletableFuture.completedFuture(true);
    }
    long rowVersion = found.map(TableRow::version).orElse(TableService.ABSENT);
    ByteString value = version.toByteString();
    return table.write(row, rowVersion, value).thenApply(result -> result.applied());
  }

  /** Returns what is kept in the place of a version's successor. */
  CompletableFuture<Optional<ConfigurationVersion>> atPlaceOfSuccessor(long version) {
    return table
        .read(rowOf(version))
        .thenApply(found -> found.map(ConfigurationRecords::parseHistory));
  }

  /** Returns every kept version, newest first. */
  CompletableFuture<List<ConfigurationVersion>> readAll() {
    List<CompletableFuture<Optional<ConfigurationVersion>>> reads = new ArrayList<>();
    for (int i = 0; i < CAPACITY; i++) {
      reads.add(atPlaceOfSuccessor(i));
    }
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenApply(
            done ->
                reads.stream()
                    .flatMap(read -> read.join().stream())
                    .sorted(Comparator.comparingLong(ConfigurationVersion::getVersion).reversed())
                    .toList());
  }

  private static String rowOf(long baseVersion) {
    return PREFIX + baseVersion % CAPACITY;
  }
}
