package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Incarnation of an upstream as the owner of keys. A restarted upstream counts as another owner.
 *
 * @param upstream id of the upstream
 * @param bornMs start time of its process, in milliseconds since the Unix epoch
 */
public record RangeOwner(String upstream, long bornMs) {

  /** Creates an owner after checking its fields. */
  public RangeOwner {
    Assert.hasLength(upstream, "upstream");
  }
}
