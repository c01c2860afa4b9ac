package org.foxtailford.testkit.simulation;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationRecords;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.InMemoryTable;

/** The platform's table; an outage loses calls, and rows outlast it. */
final class SimulatedTable extends SimulatedNode {

  static final String NAME = "table";

  private static final long TIMEOUT_MS = 300;

  private final InMemoryTable rows = new InMemoryTable();
  private final SimulatedNetwork network;
  private VmList vms = VmList.getDefaultInstance();

  SimulatedTable(SimulatedNetwork network) {
    super(NAME);
    this.network = Assert.notNull(network, "network");
  }

  /** Enters the first configuration and the first homes. */
  void fill(ConfigurationDocument document, HomeRanges homes) {
    ConfigurationRecord record =
        ConfigurationRecord.newBuilder()
            .setSchema(ConfigurationRecords.SCHEMA_VERSION)
            .setDocument(document)
            .build();
    rows.write(ConfigurationRecords.ROW, TableService.ABSENT, record.toByteString());
    rows.write(PolledKnowledge.HOMES_ROW, TableService.ABSENT, homes.toByteString());
  }

  /** Returns the configuration as it stands in the table. */
  ConfigurationDocument configuration() {
    TableRow row = rows.find(ConfigurationRecords.ROW).orElseThrow();
    return ConfigurationRecords.parse(row).getRecord().getDocument();
  }

  /** Returns the homes as they stand in the table. */
  HomeDirectory homes() {
    TableRow row = rows.find(PolledKnowledge.HOMES_ROW).orElseThrow();
    try {
      return HomeDirectory.of(List.of(HomeRanges.parseFrom(row.value())));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("homes cannot be read", e);
    }
  }

  /** Sets the VM list, which the platform gives along with the table. */
  void setVms(VmList list) {
    vms = list;
  }

  /** Says in the VM list whether a VM is leaving. */
  void setLeaving(String vm, boolean leaving) {
    VmState state = leaving ? VmState.VM_STATE_LEAVING : VmState.VM_STATE_LIVE;
    VmList.Builder changed = vms.toBuilder();
    changed.getVmsBuilderList().stream()
        .filter(entry -> entry.getName().equals(vm))
        .forEach(entry -> entry.setState(state));
    vms = changed.build();
  }

  /** Reads the VM list. */
  CompletableFuture<VmList> vmList(String node) {
    return network.call(node, this, TIMEOUT_MS, () -> vms);
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
