package org.foxtailford.core.idempotency;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.schema.RecordMember;
import org.foxtailford.schema.RecordRoster;

/**
 * Computes the next roster of record holders. Stateless and free of I/O.
 *
 * <p>A member is removed only once its process is known to have ended: its VM has left the VM list,
 * or runs under another boot id.
 */
public final class RosterPlanner {

  private RosterPlanner() {}

  /**
   * Returns the roster to write next.
   *
   * @param current roster in the table; version 0 if there is none
   * @param running processes of the VMs in the VM list
   * @param settled members that reported a complete set of records for the current version
   * @return the next roster; empty if no process is running, if the members don't change, or if so
   *     many running members are unsettled after the last change that they could be a quorum of a
   *     record's holders
   */
  public static Optional<RecordRoster> next(
      RecordRoster current, List<RecordMember> running, Set<RecordMember> settled) {
    List<RecordMember> members = current.getMembersList();
    if (running.isEmpty() || new HashSet<>(members).equals(new HashSet<>(running))) {
      return Optional.empty();
    }
    long unsettled =
        members.stream()
            .filter(running::contains)
            .filter(member -> !settled.contains(member))
            .count();
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
