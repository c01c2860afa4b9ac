package org.foxtailford.core.range;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Command of the {@link RangeController} that the leader has to carry out. */
public interface RangeCommand {

  /**
   * Grants keys to their owner, or renews that grant.
   *
   * @param number number of the command, unique within its controller
   * @param assignment the keys to grant, their owner and the fence of the grant
   * @param handover token that the previous owner returned with its release; empty if there is none
   * @param session connection over which the keys were granted under this fence; empty for the
   *     first grant. A renewal over another connection might reach another incarnation of the
   *     upstream
   */
  record Grant(
      long number, RangeAssignment assignment, Optional<String> handover, OptionalLong session)
      implements RangeCommand {}

  /**
   * Takes keys back from their owner.
   *
   * @param number number of the command, unique within its controller
   * @param assignment the keys and their current owner; the fence is higher than every granted one
   */
  record Release(long number, RangeAssignment assignment) implements RangeCommand {}

  /**
   * Writes the range map, provided that the stored map still has the expected version.
   *
   * @param assignments all assignments of the service, in order of their keys
   * @param expectedVersion version that the stored map must have; 0 if no map may be stored yet
   * @param complete whether no other upstream than these owners may hold any key
   */
  record Write(List<RangeAssignment> assignments, long expectedVersion, boolean complete)
      implements RangeCommand {

    /**
     * Returns the same write after the store was restored from an older copy, so that keys may have
     * other owners.
     *
     * @param restoredVersion version of the restored map; 0 if there is none
     */
    public Write afterRestore(long restoredVersion) {
      return new Write(assignments, restoredVersion, false);
    }
  }
}
