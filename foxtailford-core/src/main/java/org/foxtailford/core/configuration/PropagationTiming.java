package org.foxtailford.core.configuration;

import org.foxtailford.core.util.Assert;

/**
 * Timing of the propagation of configurations.
 *
 * @param digestIntervalMs time between digests to the children in the tree, and between reads of
 *     the table by the pollers, in milliseconds
 * @param staleAfterMs age of the last confirmation after which a node asks other peers, in
 *     milliseconds
 * @param tableAfterMs age of the last confirmation after which any node may read the table, in
 *     milliseconds
 * @param pollers nodes of each data centre that read the table in ordinary running
 * @param fallbackReads reads of the table per interval that the stale nodes of a data centre make
 *     together, on average
 */
public record PropagationTiming(
    long digestIntervalMs, long staleAfterMs, long tableAfterMs, int pollers, int fallbackReads) {

  /** Timing that brings a version into force everywhere within 9 s. */
  public static final PropagationTiming DEFAULT = new PropagationTiming(1000, 2500, 3500, 2, 8);

  /** Checks the components. */
  public PropagationTiming {
    Assert.isTrue(digestIntervalMs > 0, "digestIntervalMs must be positive");
    Assert.isTrue(staleAfterMs > digestIntervalMs, "staleAfterMs must exceed digestIntervalMs");
    Assert.isTrue(tableAfterMs >= staleAfterMs, "tableAfterMs must not be below staleAfterMs");
    Assert.isTrue(pollers > 0, "pollers must be positive");
    Assert.isTrue(fallbackReads > 0, "fallbackReads must be positive");
  }
}
