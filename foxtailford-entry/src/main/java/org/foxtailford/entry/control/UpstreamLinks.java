package org.foxtailford.entry.control;

import java.util.function.BooleanSupplier;
import org.foxtailford.core.range.RangeCommandClient;
import org.foxtailford.core.util.Assert;

/**
 * This VM's links to the upstreams.
 *
 * @param commands sends the leader's commands
 * @param cutOff whether this VM reaches no upstream, so that it can't grant keys
 */
public record UpstreamLinks(RangeCommandClient commands, BooleanSupplier cutOff) {

  /** Creates the links, neither of which may be null. */
  public UpstreamLinks {
    Assert.notNull(commands, "commands");
    Assert.notNull(cutOff, "cutOff");
  }

  boolean isCutOff() {
    return cutOff.getAsBoolean();
  }
}
