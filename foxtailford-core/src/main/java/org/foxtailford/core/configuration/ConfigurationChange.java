package org.foxtailford.core.configuration;

import org.foxtailford.core.util.Assert;

/**
 * Who changes the configuration, when and why.
 *
 * @param writeId number that the client chose for this change; the same on each resend of it
 * @param retry whether the client sends the change again because an answer was lost
 * @param operator operator, as the interface knows them
 * @param changedAtMs time of the change by the client, in milliseconds since 1970
 * @param note reason
 */
public record ConfigurationChange(
    long writeId, boolean retry, String operator, long changedAtMs, String note) {

  /** Checks the components. */
  public ConfigurationChange {
    Assert.isTrue(writeId != 0, "writeId must not be zero");
    Assert.hasLength(operator, "operator");
    Assert.notNull(note, "note");
  }
}
