package org.foxtailford.core.ownership;

import org.foxtailford.core.load.SliceLoadAggregator;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.util.Assert;

/**
 * Policy and inputs of a leader's placement decisions.
 *
 * @param policy decides which slices are merged, split and moved
 * @param loads load reported by entry VMs; accessed only from the leader's executor
 * @param intervalMs minimum time between two rounds that move slices because of load, in
 *     milliseconds; slices without an owner are placed at once
 */
public record PlacementSetup(PlacementPolicy policy, SliceLoadAggregator loads, long intervalMs) {

  public PlacementSetup {
    Assert.notNull(policy, "policy");
    Assert.notNull(loads, "loads");
    Assert.isTrue(intervalMs >= 0, "intervalMs must not be negative");
  }
}
