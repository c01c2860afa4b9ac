package org.foxtailford.daemon.control;

import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.OwnershipListener;
import org.foxtailford.core.util.Assert;

/** Counts grants, moves, splits and merges of slices by the leader on this VM. Thread-safe. */
final class OwnershipMetrics implements OwnershipListener {

  private final RouterMetrics metrics;

  OwnershipMetrics(RouterMetrics metrics) {
    this.metrics = Assert.notNull(metrics, "metrics");
  }

  @Override
  public void granted() {
    metrics.grant("ACCEPTED");
  }

  @Override
  public void grantRefused() {
    metrics.grant("REFUSED");
  }

  @Override
  public void moved(String service) {
    metrics.sliceMoved(service);
  }

  @Override
  public void split(String service) {
    metrics.sliceSplit(service);
  }

  @Override
  public void merged(String service) {
    metrics.slicesMerged(service);
  }
}
