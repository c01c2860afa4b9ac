package org.foxtailford.testkit.simulation;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.util.Assert;
import org.foxtailford.testkit.platform.InMemoryTable;

/** The platform's table; an outage loses calls, and rows outlast it. */
final class SimulatedTable extends SimulatedNode {

  static final String NAME = "table";

  private static final long TIMEOUT_MS = 300;

  private final InMemoryTable rows = new InMemoryTable();
  private final SimulatedNetwork network;

  SimulatedTable(SimulatedNetwork network) {
    super(NAME);
    this.network = Assert.notNull(network, "network");
  }

  /** Returns the table as one node reaches it. */
  TableService from(String node) {
    return new TableService() {
      @Override
      public CompletableFuture<Optional<TableRow>> read(String key) {
        return network.call(node, SimulatedTable.this, TIMEOUT_MS, () -> rows.find(key));
      }

      @Override
      public CompletableFuture<WriteResult> write(
          String key, long expectedVersion, ByteString value) {
        return network.call(
            node,
            SimulatedTable.this,
            TIMEOUT_MS,
            () -> rows.write(key, expectedVersion, value).join());
      }
    };
  }

  @Override
  void onLost() {
    // Rows are kept.
  }

  @Override
  void onStarted() {
    // Rows are kept.
  }
}
