package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Upstream that may own keys.
 *
 * @param owner the upstream
 * @param capacity how much it can do, relative to others; positive
 * @param cold whether it bears only few requests for now
 */
public record RangeCandidate(RangeOwner owner, double capacity, boolean cold) {

  /** Checks the fields. */
  public RangeCandidate {
    Assert.notNull(owner, "owner");
    Assert.isTrue(capacity > 0, "capacity must be positive");
  }
}
