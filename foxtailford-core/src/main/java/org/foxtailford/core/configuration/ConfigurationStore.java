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
 * Reads and replaces the configuration stored in the table.
 *
 * <p>A version is accepted once the conditional write of its row has taken effect. If the answer to
 * that write is lost, the write id tells whether it did: it is looked up in the row or, if the
 * version has been replaced since, in the history. For that reason every version is saved to the
 * history before it is replaced. Thread-safe.
 */
public final class ConfigurationStore {

  private static final int MAX_ATTEMPTS = 5;

  private final TableService table;
  private final ConfigurationHistory history;

  /** Creates a store on a table. */
  public ConfigurationStore(TableService table) {
    this.table = Assert.notNull(table, "table");
    this.history = new ConfigurationHistory(table);
  }

  /** Reads the active version; its number is zero if none has been accepted yet. */
  public CompletableFuture<ConfigurationVersion> read() {
    return table.read(ConfigurationRecords.ROW).thenApply(ConfigurationStore::parse);
  }

  private static ConfigurationVersion parse(Optional<TableRow> row) {
    return row.map(ConfigurationRecords::parse).orElse(ConfigurationVersion.getDefaultInstance());
  }

  /** Reads the active version and the stored versions before it, newest first. */
  public CompletableFuture<List<ConfigurationVersion>> readHistory() {
    return read().thenCombine(history.readAll(), ConfigurationStore::join);
  }

  private static List<ConfigurationVersion> join(
      ConfigurationVersion current, List<ConfigurationVersion> replaced) {
    List<ConfigurationVersion> versions = new ArrayList<>();
    if (current.getVersion() > 0) {
      versions.add(current);
    }
    replaced.stream()
        .filter(candidate -> candidate.getVersion() < current.getVersion())
        .forEach(versions::add);
    return versions;
  }

  /**
   * Replaces the active configuration.
   *
   * <p>The future fails with {@link ConfigurationConflictException} if another version was accepted
   * instead, and with {@link ResultCode#ACCEPTANCE_UNKNOWN} if the outcome of the write is not
   * known; a retry of the same change then resolves it.
   *
   * @param document document that has passed the check
   * @param expectedVersion version that the document is based on; zero if there was none
   * @param change metadata of the change
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
    return new PendingChange(record, change.retry()).startAttempt(1);
  }

  /** A change that is being written, with the state that its retries share. */
  private final class PendingChange {

    private final ConfigurationRecord record;
    private volatile boolean isPossiblyWritten;

    PendingChange(ConfigurationRecord record, boolean retry) {
      this.record = record;
      this.isPossiblyWritten = retry;
    }

    CompletableFuture<ConfigurationVersion> startAttempt(int number) {
      return read()
          .thenCompose(current -> tryWrite(current, number))
          .handle((accepted, failure) -> completeOrRetry(accepted, failure, number))
          .thenCompose(result -> result);
    }

    private CompletableFuture<ConfigurationVersion> completeOrRetry(
        @Nullable ConfigurationVersion accepted, @Nullable Throwable failure, int number) {
      if (accepted != null) {
        return CompletableFuture.completedFuture(accepted);
      }
      ResultCode code = ResultCodeException.codeOf(Assert.notNull(failure, "failure"));
      boolean isFinal =
          code == ResultCode.CONFIGURATION_CONFLICT || code == ResultCode.UNREADABLE_CONFIGURATION;
      if (isFinal) {
        return CompletableFuture.failedFuture(failure);
      }
      if (number < MAX_ATTEMPTS) {
        return startAttempt(number + 1);
      }
      return CompletableFuture.failedFuture(
          isPossiblyWritten ? acceptanceUnknown() : unavailable(failure));
    }

    private CompletableFuture<ConfigurationVersion> tryWrite(
        ConfigurationVersion current, int number) {
      if (current.getVersion() != record.getBaseVersion()) {
        return resolve(current);
      }
      if (current.getVersion() == TableService.ABSENT) {
        return write();
      }
      return history
          .save(current)
          .thenCompose(
              saved ->
                  saved
                      ? write()
                      : CompletableFuture.failedFuture(
                          new ResultCodeException(
                              ResultCode.PLATFORM_UNAVAILABLE,
                              "the history row could not be written")));
    }

    private CompletableFuture<ConfigurationVersion> write() {
      isPossiblyWritten = true;
      return table
          .write(ConfigurationRecords.ROW, record.getBaseVersion(), record.toByteString())
          .thenCompose(this::onWriteResult);
    }

    private CompletableFuture<ConfigurationVersion> onWriteResult(WriteResult result) {
      if (result.applied()) {
        return CompletableFuture.completedFuture(
            ConfigurationVersion.newBuilder()
                .setVersion(result.version())
                .setRecord(record)
                .build());
      }
      return read().thenCompose(this::resolve);
    }

    /** Determines whether this change or another one replaced its base version. */
    private CompletableFuture<ConfigurationVersion> resolve(ConfigurationVersion current) {
      if (current.getVersion() < record.getBaseVersion()) {
        return CompletableFuture.failedFuture(conflict(current));
      }
      if (current.getRecord().getBaseVersion() == record.getBaseVersion()) {
        return resolveBySuccessor(current, current);
      }
      return history
          .readSuccessorRow(record.getBaseVersion())
          .thenCompose(historyRow -> resolve(current, historyRow));
    }

    private CompletableFuture<ConfigurationVersion> resolve(
        ConfigurationVersion current, Optional<ConfigurationVersion> historyRow) {
      Optional<ConfigurationVersion> successor =
          historyRow.filter(
              candidate -> candidate.getRecord().getBaseVersion() == record.getBaseVersion());
      if (successor.isPresent()) {
        return resolveBySuccessor(current, successor.get());
      }
      return CompletableFuture.failedFuture(
          isPossiblyWritten ? acceptanceUnknown() : conflict(current));
    }

    private CompletableFuture<ConfigurationVersion> resolveBySuccessor(
        ConfigurationVersion current, ConfigurationVersion successor) {
      boolean isOwnWrite = successor.getRecord().getWriteId() == record.getWriteId();
      return isOwnWrite
          ? CompletableFuture.completedFuture(successor)
          : CompletableFuture.failedFuture(conflict(current));
    }

    private ConfigurationConflictException conflict(ConfigurationVersion current) {
      return new ConfigurationConflictException(
          record.getBaseVersion(),
          current,
          ConfigurationDifference.between(current.getRecord().getDocument(), record.getDocument()));
    }

    private ResultCodeException acceptanceUnknown() {
      return new ResultCodeException(
          ResultCode.ACCEPTANCE_UNKNOWN,
          "the outcome of configuration write "
              + Long.toUnsignedString(record.getWriteId(), 16)
              + " is not known; retry with the same write id");
    }

    private static ResultCodeException unavailable(Throwable failure) {
      return new ResultCodeException(
          ResultCode.PLATFORM_UNAVAILABLE, "nothing was written: " + failure.getMessage(), failure);
    }
  }
}
