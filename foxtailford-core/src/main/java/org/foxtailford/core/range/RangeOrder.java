package org.foxtailford.core.range;

import java.util.List;
import java.util.Optional;

/** What the leader has to do next for the ranges of a service. */
public interface RangeOrder {

  /**
   * Grant keys to their owner, or renew the grant.
   *
   * @param assignment the keys, their owner and fence
   * @param handover what the last owner handed over
   * @param first whether it is the first grant under this fence
   */
  record Grant(RangeAssignment assignment, Optional<String> handover, boolean first)
      implements RangeOrder {}

  /**
   * Take keys back from their owner.
   *
   * @param assignment the keys and their present owner; the fence is above all granted ones
   */
  record Release(RangeAssignment assignment) implements RangeOrder {}

  /**
   * Write the map, on condition that nobody else has.
   *
   * @param assignments the whole map
   * @param expectedVersion version that the stored map must have; 0 for none
   */
  record Write(List<RangeAssignment> assignments, long expectedVersion) implements RangeOrder {}
}
