package org.foxtailford.core.configuration;

import org.foxtailford.core.util.Assert;

/**
 * Metadata of a configuration change, stored with the version that it creates.
 *
 * @param writeId non-zero number that the client chooses for the change; every retry carries the
 *     same one, so that the store recognises a write that took effect although its answer was lost
 * @param retry whether the client already sent this change and does not know the outcome
 * @param operator name under which the operators' interface knows the operator; never empty
 * @param changedAtMs time of the change on the client's clock, in milliseconds since 1970
 * @param note reason for the change; may be empty
 */
public record ConfigurationChange(
    long writeId, boolean retry, String operator, long changedAtMs, String note) {

  /**
   * Creates the metadata.
   *
   * @throws IllegalArgumentException if {@code writeId} is zero or {@code operator} is empty
   */
  public ConfigurationChange {
    Assert.isTrue(writeId != 0, "writeId must not be zero");
    Assert.hasLength(operator, "operator");
    Assert.notNull(note, "note");
  }
}
