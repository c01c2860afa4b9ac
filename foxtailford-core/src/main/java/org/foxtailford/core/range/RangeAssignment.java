package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Assignment of a range to its owner.
 *
 * @param range the assigned keys
 * @param owner the incarnation of the upstream that owns them
 * @param fence generation number of the ownership; each new owner gets a higher one
 */
public record RangeAssignment(KeyRange range, RangeOwner owner, long fence) {

  /** Creates an assignment after checking its fields. */
  public RangeAssignment {
    Assert.notNull(range, "range");
    Assert.notNull(owner, "owner");
  }
}
