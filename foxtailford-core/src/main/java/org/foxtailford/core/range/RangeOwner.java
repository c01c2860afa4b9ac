package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * One life of an upstream, as the owner of keys.
 *
 * @param upstream id of the upstream
 * @param bornMs start of its process, as Unix milliseconds
 */
public record RangeOwner(String upstream, long bornMs) {

  /** Checks the fields. */
  public RangeOwner {
    Assert.hasLength(upstream, "upstream");
  }
}
