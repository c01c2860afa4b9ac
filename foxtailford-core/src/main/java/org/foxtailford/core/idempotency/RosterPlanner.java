package org.foxtailford.core.idempotency;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.schema.RecordMember;
import org.foxtailford.schema.RecordRoster;

/**
 * Decides when the roster changes. Has no state and does no I/O.
 *
 * <p>A member is taken out only once its process is known to have ended: the VM list doesn't name
 * its VM any more, or the VM runs with another boot id.
 */
public final class RosterPlanner {

  private RosterPlanner() {}

  /**
   * Returns the roster to write next.
   *
   * @param current roster in the table; version 0 if there is none
   * @param running processes of the VMs that the VM list names
   * @param settled members that reported to have every record under the current version
   * @return empty if nothing changes, or if the last change hasn't settled
   */
  public static Optional<RecordRoster> next(
      RecordRoster current, List<RecordMember> running, Set<RecordMember> settled) {
    List<RecordMember> members = current.getMembersList();
    if (running.isEmpty() || new HashSet<>(members).equals(new HashSet<>(running))) {
      return Optional.empty();
    }
    long unsettled =
        members.stream().filter(running::contains).filter(m -> !settled.contains(m)).count();
    int copies = Math.min(RosterView.REPLICATION_FACTOR, members.size());
    if (unsettled >= RosterView.quorum(copies)) {
      return Optional.empty();
    }
    return Optional.of(
        RecordRoster.newBuilder()
            .setVersion(current.getVersion() + 1)
            .addAllMembers(running)
            .addAllPrevious(members)
            .build());
  }
}
