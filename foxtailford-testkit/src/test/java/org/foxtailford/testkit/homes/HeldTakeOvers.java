package org.foxtailford.testkit.homes;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.schema.HomeRanges;

/** Holds back every write that takes the last home of a data centre, until a test lets it go. */
final class HeldTakeOvers implements HomeRules {

  private final String dataCentre;
  private final HomeRules rules;
  private final List<Runnable> held = new ArrayList<>();

  HeldTakeOvers(String dataCentre, HomeRules rules) {
    this.dataCentre = dataCentre;
    this.rules = rules;
  }

  @Override
  public HomeRanges homes(HomeRanges row) {
    return rules.homes(row);
  }

  @Override
  public TableService moverTable(TableService table) {
    TableService inner = rules.moverTable(table);
    return new TableService() {
      @Override
      public CompletableFuture<Optional<TableRow>> read(String key) {
        return inner.read(key);
      }

      @Override
      public CompletableFuture<WriteResult> write(String key, long expected, ByteString value) {
        if (!takesLastHome(value)) {
          return inner.write(key, expected, value);
        }
        held.add(() -> inner.write(key, expected, value));
        return CompletableFuture.failedFuture(new TimeoutException("held back"));
      }
    };
  }

  private boolean takesLastHome(ByteString value) {
    try {
      return HomeRanges.parseFrom(value).getRangesList().stream()
          .noneMatch(range -> range.getDataCentre().equals(dataCentre));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean anyHeld() {
    return !held.isEmpty();
  }

  /** Sends what was held back. */
  void letGo() {
    held.forEach(Runnable::run);
  }
}
