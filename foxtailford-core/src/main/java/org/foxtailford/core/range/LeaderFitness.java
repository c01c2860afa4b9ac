package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Computes by how much a weak entry VM delays its takeover of a vacant leadership, so that a
 * stronger VM takes it first.
 */
public final class LeaderFitness {

  /** Delay of a VM with half a core, in milliseconds; the leader's tasks need processor time. */
  private static final double HALF_CORE_DELAY_MS = 300;

  /** Bandwidth that a leader needs to distribute a large configuration in time, in Mbit/s. */
  private static final double SUFFICIENT_MBPS = 20;

  /** Delay of a VM with half the sufficient bandwidth, in milliseconds. */
  private static final double HALF_BANDWIDTH_DELAY_MS = 300;

  /** Upper bound of the delay, in milliseconds; a VM has to lead even if only weak ones remain. */
  private static final double MAX_DELAY_MS = 1500;

  private LeaderFitness() {}

  /**
   * Returns the delay of an entry VM, in milliseconds; 0 for a VM that is strong enough.
   *
   * @param processorShare the VM's share of processors, in cores
   * @param linkMbps bandwidth of the VM's link, in Mbit/s
   */
  public static long delayMs(double processorShare, double linkMbps) {
    Assert.isTrue(processorShare > 0 && linkMbps > 0, "processor and link must be positive");
    double processorDelayMs = HALF_CORE_DELAY_MS * Math.max(0, 1 / processorShare - 1);
    double linkDelayMs = HALF_BANDWIDTH_DELAY_MS * Math.max(0, SUFFICIENT_MBPS / linkMbps - 1);
    return (long) Math.min(MAX_DELAY_MS, processorDelayMs + linkDelayMs);
  }
}
