package org.foxtailford.entry.control;

import java.util.List;
import java.util.concurrent.Executor;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.MemberRecord;

/** Writes this VM's own row to the store, until the store has it. Confined to the event loop. */
final class MemberRegistration {

  private final String node;
  private final byte[] value;
  private final RowStore store;
  private final MillisClock clock;
  private final Executor loop;
  private boolean written;
  private boolean writeInFlight;
  private long nextWriteMs;

  MemberRegistration(EntryIdentity self, RowStore store, MillisClock clock, Executor loop) {
    this.node = self.node();
    this.value =
        MemberRecord.newBuilder()
            .setNode(node)
            .setLife(self.incarnation())
            .setHost(self.address().host())
            .setPort(self.address().port())
            .setCallersPort(self.callersPort())
            .setDataCentre(self.dataCentre())
            .setProcessorMillicores((int) Math.round(1000 * self.processorShare()))
            .build()
            .toByteArray();
    this.store = Assert.notNull(store, "store");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
  }

  /** Makes the row be written again, since the store may have lost it. */
  void repeat() {
    written = false;
  }

  /** Writes the row if a write is due. */
  void writeAsNeeded() {
    if (written || writeInFlight || clock.nowMs() < nextWriteMs) {
      return;
    }
    writeInFlight = true;
    store
        .write(
            List.of(RowWrite.put(SystemTables.MEMBERS, node, -1, value)),
            store.era(),
            TablePoller.TIMEOUT_MS)
        .whenCompleteAsync(
            (version, failure) -> {
              writeInFlight = false;
              written = failure == null;
              nextWriteMs = clock.nowMs() + ControlTiming.SYSTEM_POLL_MS;
            },
            loop);
  }
}
