package org.foxtailford.core.placement;

import org.foxtailford.core.util.Assert;

/**
 * Upstream with its capacity and state, as input to a {@link PlacementPolicy}.
 *
 * @param name name of the upstream VM
 * @param weight capacity relative to other upstreams; positive
 * @param accepting whether the upstream may receive slices; otherwise it is drained
 * @param reportsOverload whether the upstream reports overload; it then receives slices only if no
 *     other upstream has room, and the report never causes a move by itself
 */
public record UpstreamCapacity(
    String name, double weight, boolean accepting, boolean reportsOverload) {

  public UpstreamCapacity {
    Assert.hasLength(name, "name");
    Assert.isTrue(weight > 0, "weight must be positive");
  }

  /** Returns an accepting upstream of weight 1 that does not report overload. */
  public static UpstreamCapacity accepting(String name) {
    return new UpstreamCapacity(name, 1, true, false);
  }
}
