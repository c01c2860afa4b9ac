package org.foxtailford.core.ownership;

import org.foxtailford.core.load.SliceLoadAggregator;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.util.Assert;

/**
 * What a leader decides placement with.
 *
 * @param policy decides on changes
 * @param loads what entry VMs report; used from the leader's executor alone
 * @param intervalMs least time between two rounds that move slices for load, in milliseconds;
 *     slices without an owner wait for no round
 */
public record PlacementSetup(PlacementPolicy policy, SliceLoadAggregator loads, long intervalMs) {

  public PlacementSetup {
    Assert.notNull(policy, "policy");
    Assert.notNull(loads, "loads");
    Assert.isTrue(intervalMs >= 0, "intervalMs must not be negative");
  }
}
