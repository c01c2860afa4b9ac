package org.foxtailford.entry;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.platform.JsonPlatformRows;

/** Rows of which a configuration holds up the event loop that reads it, if it is told to. */
final class RowsThatHoldUpTheLoop implements PlatformRows {

  private final PlatformRows rows = new JsonPlatformRows();
  private final CountDownLatch reached = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private volatile boolean armed;

  /** Makes the next configuration hold up the event loop. */
  void arm() {
    armed = true;
  }

  /** Waits until the event loop is held up. */
  void awaitReached() throws InterruptedException {
    reached.await();
  }

  /** Returns whether the event loop is held up. */
  boolean isHolding() {
    return reached.getCount() == 0 && released.getCount() > 0;
  }

  void release() {
    armed = false;
    released.countDown();
  }

  @Override
  public RoutingConfiguration readConfiguration(Row row) {
    if (armed) {
      reached.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return rows.readConfiguration(row);
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
  public Optional<String> findEvacuatedDataCentre(Row row) {
    return rows.findEvacuatedDataCentre(row);
  }

  @Override
  public UpstreamEntry readUpstream(Row row) {
    return rows.readUpstream(row);
  }
}
