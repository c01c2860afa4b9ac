package org.foxtailford.core.configuration;

import org.foxtailford.core.util.Assert;

/**
 * Intervals and limits of configuration propagation.
 *
 * @param digestIntervalMs time between digests to the children in the tree, and between table reads
 *     of a poller, in milliseconds
 * @param staleAfterMs age of the last confirmation from which a node asks random peers, in
 *     milliseconds
 * @param tableReadAfterMs age of the last confirmation from which any node may read the table, in
 *     milliseconds
 * @param pollers number of nodes per data centre that poll the table in normal operation
 * @param fallbackReads average number of table reads per interval by all nodes of a data centre
 *     together while their confirmations are stale
 */
public record PropagationTiming(
    long digestIntervalMs,
    long staleAfterMs,
    long tableReadAfterMs,
    int pollers,
    int fallbackReads) {

  /** Values with which a version becomes active on every node within 9 s. */
  public static final PropagationTiming DEFAULT = new PropagationTiming(1000, 2500, 3500, 2, 8);

  /**
   * Creates the timing.
   *
   * @throws IllegalArgumentException if a value is not positive or the ages are out of order
   */
  public PropagationTiming {
    Assert.isTrue(digestIntervalMs > 0, "digestIntervalMs must be positive");
    Assert.isTrue(staleAfterMs > digestIntervalMs, "staleAfterMs must exceed digestIntervalMs");
    Assert.isTrue(
        tableReadAfterMs >= staleAfterMs, "tableReadAfterMs must not be below staleAfterMs");
    Assert.isTrue(pollers > 0, "pollers must be positive");
    Assert.isTrue(fallbackReads > 0, "fallbackReads must be positive");
  }
}
