package org.foxtailford.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.ConfigurationVersion;
import org.jspecify.annotations.Nullable;

/**
 * Reads and replaces the configuration in the table.
 *
 * <p>A version is accepted when the conditional write of its row took effect. Whether it did is
 * found out by its write id, in the row or, if it was replaced since, in the history; every version
 * is kept in the history before it is replaced. Thread-safe.
 */
public final class ConfigurationStore {

  private static final int MAX_ATTEMPTS = 5;

  private final TableService table;
  private final ConfigurationHistory history;

  public ConfigurationStore(TableService table) {
    this.table = Assert.notNull(table, "table");
    this.history = new ConfigurationHistory(table);
  }

  /** Reads the version in force; one with version zero if there is none yet. */
  public CompletableFuture<ConfigurationVersion> read() {
    return table.read(ConfigurationRecords.ROW).thenApply(ConfigurationStore::parse);
  }

  private static ConfigurationVersion parse(Optional<TableRow> row) {
    return row.map(ConfigurationRecords::parse).orElse(ConfigurationVersion.getDefaultInstance());
  }

  /** Reads the version in force and those that it replaced, newest first. */
  public CompletableFuture<List<ConfigurationVersion>> readHistory() {
    return read().thenCombine(history.readAll(), ConfigurationStore::join);
  }

  private static List<ConfigurationVersion> join(
      ConfigurationVersion current, List<ConfigurationVersion> replaced) {
    List<ConfigurationVersion> versions = new ArrayList<>();
    if (current.getVersion() > 0) {
      versions.add(current);
    }
    replaced.stream().filter(v -> v.getVersion() < current.getVersion()).forEach(versions::add);
    return versions;
  }

  /**
   * Replaces the configuration.
   *
   * <p>The future fails with {@link ConfigurationConflictException} if another version was accepted
   * instead, and with {@link ResultCode#ACCEPTANCE_UNKNOWN} if the table did not say what became of
   * the write; sending the same change again then tells.
   *
   * @param document a checked document
   * @param expectedVersion version that it was made from
   * @param change who changes it
   * @return the accepted version
   */
  public CompletableFuture<ConfigurationVersion> apply(
      ConfigurationDocument document, long expectedVersion, ConfigurationChange change) {
    ConfigurationRecord record =
        ConfigurationRecord.newBuilder()
            .setSchema(ConfigurationRecords.SCHEMA_VERSION)
            .setWriteId(change.writeId())
            .setBaseVersion(expectedVersion)
            .setWho(change.operator())
            .setWhenMs(change.changedAtMs())
            .setNote(change.note())
            .setDocument(ConfigurationDocuments.canonicalize(document))
            .build();
    return new Write(record, change.retry()).attempt(1);
  }

  /** One change on its way into the table. */
  private final class Write {

    private final ConfigurationRecord record;
    private volatile boolean mayHaveWritten;

    Write(ConfigurationRecord record, boolean resent) {
      this.record = record;
      this.mayHaveWritten = resent;
    }

    CompletableFuture<ConfigurationVersion> attempt(int number) {
      return read()
          .thenCompose(current -> step(current, number))
          .handle((accepted, failure) -> next(accepted, failure, number))
          .thenCompose(result -> result);
    }

    private CompletableFuture<ConfigurationVersion> next(
        @Nullable ConfigurationVersion accepted, @Nullable Throwable failure, int number) {
      if (accepted != null) {
        return CompletableFuture.completedFuture(accepted);
      }
      ResultCode code = ResultCodeException.codeOf(Assert.notNull(failure, "failure"));
      boolean definite =
          code == ResultCode.CONFIGURATION_CONFLICT || code == ResultCode.UNREADABLE_CONFIGURATION;
      if (definite) {
        return CompletableFuture.failedFuture(failure);
      }
      if (number < MAX_ATTEMPTS) {
        return attempt(number + 1);
      }
      return CompletableFuture.failedFuture(mayHaveWritten ? unknown() : unavailable(failure));
    }

    private CompletableFuture<ConfigurationVersion> step(ConfigurationVersion current, int number) {
      if (current.getVersion() != record.getBaseVersion()) {
        return resolve(current);
      }
      if (current.getVersion() == TableService.ABSENT) {
        return write();
      }
      return history
          .keep(current)
          .thenCompose(
              kept ->
                  kept
                      ? write()
                      : CompletableFuture.failedFuture(
                          new ResultCodeException(
                              ResultCode.PLATFORM_UNAVAILABLE, "the history is being written")));
    }

    private CompletableFuture<ConfigurationVersion> write() {
      mayHaveWritten = true;
      return table
          .write(ConfigurationRecords.ROW, record.getBaseVersion(), record.toByteString())
          .thenCompose(this::written);
    }

    private CompletableFuture<ConfigurationVersion> written(WriteResult result) {
      if (result.applied()) {
        return CompletableFuture.completedFuture(
            ConfigurationVersion.newBuilder()
                .setVersion(result.version())
                .setRecord(record)
                .build());
      }
      return read().thenCompose(this::resolve);
    }

    /** Finds out what replaced the version that the change was made from. */
    private CompletableFuture<ConfigurationVersion> resolve(ConfigurationVersion current) {
      if (current.getVersion() < record.getBaseVersion()) {
        return CompletableFuture.failedFuture(conflict(current));
      }
      if (current.getRecord().getBaseVersion() == record.getBaseVersion()) {
        return decide(current, current);
      }
      return history
          .atPlaceOfSuccessor(record.getBaseVersion())
          .thenCompose(found -> resolve(current, found));
    }

    private CompletableFuture<ConfigurationVersion> resolve(
        ConfigurationVersion current, Optional<ConfigurationVersion> found) {
      Optional<ConfigurationVersion> successor =
          found.filter(v -> v.getRecord().getBaseVersion() == record.getBaseVersion());
      if (successor.isPresent()) {
        return decide(current, successor.get());
      }
      return CompletableFuture.failedFuture(mayHaveWritten ? unknown() : conflict(current));
    }

    private CompletableFuture<ConfigurationVersion> decide(
        ConfigurationVersion current, ConfigurationVersion successor) {
      boolean own = successor.getRecord().getWriteId() == record.getWriteId();
      return own
          ? CompletableFuture.completedFuture(successor)
          : CompletableFuture.failedFuture(conflict(current));
    }

    private ConfigurationConflictException conflict(ConfigurationVersion current) {
      return new ConfigurationConflictException(
          record.getBaseVersion(),
          current,
          ConfigurationDifference.between(current.getRecord().getDocument(), record.getDocument()));
    }

    private ResultCodeException unknown() {
      return new ResultCodeException(
          ResultCode.ACCEPTANCE_UNKNOWN,
          "the table does not say what became of write "
              + Long.toUnsignedString(record.getWriteId(), 16)
              + "; send it again with the same write id");
    }

    private static ResultCodeException unavailable(Throwable failure) {
      return new ResultCodeException(
          ResultCode.PLATFORM_UNAVAILABLE, "nothing was written: " + failure.getMessage(), failure);
    }
  }
}
