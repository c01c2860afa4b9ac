package org.foxtailford.entry;

import java.util.Optional;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.platform.JsonPlatformRows;

/** Rows of a VM that reaches each upstream over a link of its own. */
final class LinkedRows implements PlatformRows {

  private final PlatformRows rows = new JsonPlatformRows();
  private final IntUnaryOperator linkPort;
  private final LongSupplier lastVersion;

  /**
   * Creates the rows.
   *
   * @param linkPort port of the link to an upstream, by the upstream's port
   * @param lastVersion last version of the configuration that the VM takes in
   */
  LinkedRows(IntUnaryOperator linkPort, LongSupplier lastVersion) {
    this.linkPort = linkPort;
    this.lastVersion = lastVersion;
  }

  @Override
  public UpstreamEntry readUpstream(Row row) {
    UpstreamEntry entry = rows.readUpstream(row);
    UpstreamAddress address =
        new UpstreamAddress(entry.address().host(), linkPort.applyAsInt(entry.address().port()));
    return new UpstreamEntry(
        entry.id(),
        entry.bornMs(),
        entry.service(),
        address,
        entry.dataCentre(),
        entry.slots(),
        entry.draining(),
        entry.coldLeftMs());
  }

  @Override
  public String operatorTable() {
    return rows.operatorTable();
  }

  @Override
  public String upstreamTable() {
    return rows.upstreamTable();
  }

  @Override
  public boolean isConfiguration(Row row) {
    return rows.isConfiguration(row);
  }

  @Override
  public RoutingConfiguration readConfiguration(Row row) {
    RoutingConfiguration configuration = rows.readConfiguration(row);
    if (configuration.version() > lastVersion.getAsLong()) {
      throw new UnreadableRowException("this VM is kept behind");
    }
    return configuration;
  }

  @Override
  public Optional<String> findEvacuatedDataCentre(Row row) {
    return rows.findEvacuatedDataCentre(row);
  }
}
