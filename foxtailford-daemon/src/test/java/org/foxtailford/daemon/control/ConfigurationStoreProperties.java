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

/** Concurrent operators over a table that loses calls and answers and delays writes. */
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
    operators.forEach(Operator::next);
    for (int i = 0; table.step(); i++) {
      if (i == FAULTY_STEPS) {
        table.heal();
      }
      assertThat(i).as("steps until every change is decided").isLessThan(MAX_STEPS);
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
      assertThat(written.add(record.getWriteId())).as("a change is in force once").isTrue();
    }
    Set<Long> reported = new HashSet<>();
    operators.forEach(operator -> reported.addAll(operator.accepted));
    assertThat(reported).as("changes reported as accepted").isEqualTo(written);
  }

  private static void checkHistory(SteppedTable table) {
    var history = new ConfigurationStore(table).readHistory();
    table.heal();
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

  /** Adds VMs one after the other by read, change and conditional write. */
  private static final class Operator {

    private static final int CHANGES = 4;

    private final int number;
    private final ConfigurationStore store;
    private final Set<Long> accepted = new HashSet<>();
    private long lastSeen;
    private int made;

    Operator(int number, ConfigurationStore store) {
      this.number = number;
      this.store = store;
    }

    boolean isDone() {
      return made == CHANGES;
    }

    void next() {
      if (!isDone()) {
        store.read().whenComplete(this::onRead);
      }
    }

    private void onRead(@Nullable ConfigurationVersion read, @Nullable Throwable failure) {
      if (read == null) {
        next();
        return;
      }
      assertThat(read.getVersion()).as("versions never go back").isGreaterThanOrEqualTo(lastSeen);
      lastSeen = read.getVersion();
      long writeId = number * 100L + made + 1;
      ConfigurationDocument document =
          read.getRecord().getDocument().toBuilder()
              .addVms(LabelledVm.newBuilder().setName("vm-" + writeId))
              .build();
      send(document, read.getVersion(), writeId, false);
    }

    private void send(ConfigurationDocument document, long base, long writeId, boolean resent) {
      ConfigurationChange change =
          new ConfigurationChange(writeId, resent, "operator-" + number, 0, "");
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
      made++;
      next();
    }
  }
}
