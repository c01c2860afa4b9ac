package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Upstream to which ranges may be assigned.
 *
 * @param owner the incarnation of the upstream that would own the ranges
 * @param capacity capacity relative to that of other upstreams; positive
 * @param cold whether it is warming up and can handle only few requests yet
 */
public record RangeCandidate(RangeOwner owner, double capacity, boolean cold) {

  /** Creates a candidate after checking its fields. */
  public RangeCandidate {
    Assert.notNull(owner, "owner");
    Assert.isTrue(capacity > 0, "capacity must be positive");
  }
}
