package org.foxtailford.core.placement;

import org.foxtailford.core.util.Assert;

/**
 * An upstream as the placement policy sees it.
 *
 * @param name name of the VM
 * @param weight capacity relative to other upstreams
 * @param accepting whether it may receive slices; one that may not is emptied
 * @param reportsOverload whether its own report says that it is overloaded; it then is a target
 *     only if no other upstream has room, and never a reason for a move
 */
public record UpstreamCapacity(
    String name, double weight, boolean accepting, boolean reportsOverload) {

  public UpstreamCapacity {
    Assert.hasLength(name, "name");
    Assert.isTrue(weight > 0, "weight must be positive");
  }

  /** Returns an upstream of usual capacity that may receive slices. */
  public static UpstreamCapacity accepting(String name) {
    return new UpstreamCapacity(name, 1, true, false);
  }
}
