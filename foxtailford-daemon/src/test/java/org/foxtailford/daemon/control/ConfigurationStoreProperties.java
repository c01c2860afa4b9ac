package org.foxtailford.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.Lists;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.foxtailford.core.configuration.ConfigurationChange;
import org.foxtailford.core.configuration.ConfigurationRecords;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.LabelledVm;
import org.jspecify.annotations.Nullable;

/**
 * Concurrent operators change the configuration while the table loses calls and answers and delays
 * writes.
 */
class ConfigurationStoreProperties {

  private static final int FAULTY_STEPS = 300;
  private static final int MAX_STEPS = 20_000;

  @Property(seed = "6", tries = 2000)
  void acceptanceIsDefiniteAndNoAcceptedVersionIsLost(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 4) int operatorCount)
      throws InvalidProtocolBufferException {
    SteppedTable table = new SteppedTable(new Random(seed), ConfigurationRecords.ROW);
    List<Operator> operators = new ArrayList<>();
    for (int i = 0; i < operatorCount; i++) {
      operators.add(new Operator(i, new ConfigurationStore(table)));
    }
    operators.forEach(Operator::startNextChange);
    for (int i = 0; table.step(); i++) {
      if (i == FAULTY_STEPS) {
        table.disableFaults();
      }
      assertThat(i).as("steps until the result of every change is known").isLessThan(MAX_STEPS);
    }
    assertThat(operators).allMatch(Operator::isDone);
    checkAnswers(table, operators);
    checkHistory(table);
  }

  private static void checkAnswers(SteppedTable table, List<Operator> operators)
      throws InvalidProtocolBufferException {
    Set<Long> written = new HashSet<>();
    for (TableRow row : table.accepted()) {
      ConfigurationRecord record = ConfigurationRecord.parseFrom(row.value());
      assertThat(written.add(record.getWriteId())).as("each change is applied once").isTrue();
    }
    Set<Long> reported = new HashSet<>();
    operators.forEach(operator -> reported.addAll(operator.accepted));
    assertThat(reported).as("changes reported as accepted").isEqualTo(written);
  }

  private static void checkHistory(SteppedTable table) {
    var history = new ConfigurationStore(table).readHistory();
    table.disableFaults();
    while (table.step()) {
      assertThat(history).isNotCompletedExceptionally();
    }
    List<Long> versions = history.join().stream().map(ConfigurationVersion::getVersion).toList();
    List<Long> expected = table.accepted().stream().map(TableRow::version).toList();
    assertThat(versions).isEqualTo(Lists.reverse(expected));
    List<ConfigurationDocument> documents =
        history.join().stream().map(v -> v.getRecord().getDocument()).toList();
    for (int i = 0; i + 1 < documents.size(); i++) {
      assertThat(documents.get(i).getVmsList()).containsAll(documents.get(i + 1).getVmsList());
    }
  }

  /** Adds VMs sequentially, each by a read, a change and a conditional write. */
  private static final class Operator {

    private static final int CHANGES = 4;

    private final int number;
    private final ConfigurationStore store;
    private final Set<Long> accepted = new HashSet<>();
    private long lastReadVersion;
    private int completedChanges;

    Operator(int number, ConfigurationStore store) {
      this.number = number;
      this.store = store;
    }

    boolean isDone() {
      return completedChanges == CHANGES;
    }

    void startNextChange() {
      if (!isDone()) {
        store.read().whenComplete(this::onRead);
      }
    }

    private void onRead(@Nullable ConfigurationVersion read, @Nullable Throwable failure) {
      if (read == null) {
        startNextChange();
        return;
      }
      assertThat(read.getVersion())
          .as("versions never decrease")
          .isGreaterThanOrEqualTo(lastReadVersion);
      lastReadVersion = read.getVersion();
      long writeId = number * 100L + completedChanges + 1;
      ConfigurationDocument document =
          read.getRecord().getDocument().toBuilder()
              .addVms(LabelledVm.newBuilder().setName("vm-" + writeId))
              .build();
      send(document, read.getVersion(), writeId, false);
    }

    private void send(ConfigurationDocument document, long base, long writeId, boolean retry) {
      ConfigurationChange change =
          new ConfigurationChange(writeId, retry, "operator-" + number, 0, "");
      store
          .apply(document, base, change)
          .whenComplete((result, failure) -> onApplied(document, base, writeId, result, failure));
    }

    private void onApplied(
        ConfigurationDocument document,
        long base,
        long writeId,
        @Nullable ConfigurationVersion result,
        @Nullable Throwable failure) {
      if (result != null) {
        assertThat(result.getRecord().getWriteId()).isEqualTo(writeId);
        accepted.add(writeId);
      } else if (ResultCodeException.codeOf(failure) == ResultCode.ACCEPTANCE_UNKNOWN) {
        send(document, base, writeId, true);
        return;
      }
      completedChanges++;
      startNextChange();
    }
  }
}
