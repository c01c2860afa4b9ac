package org.foxtailford.core.configuration;

import org.foxtailford.core.util.Assert;

/**
 * Who changes the configuration, when and why.
 *
 * @param writeId number that the client chose for this change; the same on each resend of it
 * @param resent whether the client sends the change again because an answer was lost
 * @param who operator, as the interface knows them
 * @param whenMs time of the change by the client, in milliseconds since 1970
 * @param note reason
 */
public record ConfigurationChange(
    long writeId, boolean resent, String who, long whenMs, String note) {

  /** Checks the components. */
  public ConfigurationChange {
    Assert.isTrue(writeId != 0, "writeId must not be zero");
    Assert.hasLength(who, "who");
    Assert.notNull(note, "note");
  }
}
