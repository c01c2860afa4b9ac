package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Owner of a range.
 *
 * @param range the keys
 * @param owner the owner
 * @param fence generation number of the ownership
 */
public record RangeAssignment(KeyRange range, RangeOwner owner, long fence) {

  /** Checks the fields. */
  public RangeAssignment {
    Assert.notNull(range, "range");
    Assert.notNull(owner, "owner");
  }
}
