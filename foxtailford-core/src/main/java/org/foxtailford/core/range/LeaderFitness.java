package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * How much later a weak entry VM takes a vacant leader's seat, so that a stronger one comes first.
 */
public final class LeaderFitness {

  /** Delay of a VM with half a core, in milliseconds: the leader needs some of it. */
  private static final double WEAK_PROCESSOR_MS = 300;

  /** Bandwidth that a leader needs to pass a large configuration on in time, in Mbit/s. */
  private static final double ENOUGH_MBPS = 20;

  /** Delay of a VM with half of that bandwidth, in milliseconds. */
  private static final double NARROW_LINK_MS = 300;

  /** Longest delay, in milliseconds: somebody has to lead while only weak VMs are left. */
  private static final double MOST_MS = 1500;

  private LeaderFitness() {}

  /**
   * Returns the delay of an entry VM, in milliseconds.
   *
   * @param processorShare its processor, in cores
   * @param linkMbps bandwidth of its link, in Mbit/s
   */
  public static long delayMs(double processorShare, double linkMbps) {
    Assert.isTrue(processorShare > 0 && linkMbps > 0, "processor and link must be positive");
    double processor = WEAK_PROCESSOR_MS * Math.max(0, 1 / processorShare - 1);
    double link = NARROW_LINK_MS * Math.max(0, ENOUGH_MBPS / linkMbps - 1);
    return (long) Math.min(MOST_MS, processor + link);
  }
}
