package org.foxtailford.core.range;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** What the leader has to do next for the ranges of a service. */
public interface RangeCommand {

  /**
   * Grant keys to their owner, or renew the grant.
   *
   * @param assignment the keys, their owner and fence
   * @param handover what the last owner handed over
   * @param session connection over which the keys were granted under this fence; empty for the
   *     first grant. A renewal over another one might reach another life of the upstream
   */
  record Grant(RangeAssignment assignment, Optional<String> handover, OptionalLong session)
      implements RangeCommand {}

  /**
   * Take keys back from their owner.
   *
   * @param assignment the keys and their present owner; the fence is above all granted ones
   */
  record Release(RangeAssignment assignment) implements RangeCommand {}

  /**
   * Write the map, on condition that nobody else has.
   *
   * @param assignments the whole map
   * @param expectedVersion version that the stored map must have; 0 for none
   */
  record Write(List<RangeAssignment> assignments, long expectedVersion) implements RangeCommand {}
}
