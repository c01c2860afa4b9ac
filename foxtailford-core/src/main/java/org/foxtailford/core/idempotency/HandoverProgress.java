package org.foxtailford.core.idempotency;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailford.schema.RecordMember;

/**
 * What one holder has received of the previous roster's records. Not thread-safe.
 *
 * <p>A record may be missing only if a quorum of its previous holders has not handed over. Once a
 * member has been asked for its records it grants nothing under the previous version.
 */
final class HandoverProgress {

  private final RosterView roster;
  private final long ttlMs;
  private final Set<RecordMember> missing;
  private final Set<RecordMember> unlocked;
  private long lastLockMs;

  HandoverProgress(
      RosterView roster, RecordMember self, boolean selfComplete, long ttlMs, long nowMs) {
    this.roster = roster;
    this.ttlMs = ttlMs;
    this.missing = new HashSet<>(roster.previousMembers());
    this.unlocked = new HashSet<>(roster.previousMembers());
    this.lastLockMs = nowMs;
    unlocked.retainAll(roster.members());
    unlocked.remove(self);
    if (selfComplete) {
      missing.remove(self);
    }
  }

  /** Notes that a member grants nothing more under the previous version. */
  void recordLock(RecordMember source, long nowMs) {
    if (unlocked.remove(source)) {
      lastLockMs = nowMs;
    }
  }

  /** Notes that a member that had every record handed over the last of its own. */
  void recordCompletion(RecordMember source) {
    missing.remove(source);
  }

  /** Returns the members that still have to hand over. */
  List<RecordMember> pendingSources() {
    return List.copyOf(missing);
  }

  /** Tells whether every record of the previous version that this member needs is here. */
  boolean isComplete(long nowMs) {
    int copies = Math.min(RosterView.REPLICATION_FACTOR, roster.previousMembers().size());
    return missing.size() < RosterView.quorum(copies) || isExpired(nowMs);
  }

  /** Tells whether the record of one key is here if there was one. */
  boolean isComplete(String key, long nowMs) {
    if (isComplete(nowMs)) {
      return true;
    }
    List<RecordMember> holders = roster.previousHolders(key);
    long gone = holders.stream().filter(missing::contains).count();
    return gone < RosterView.quorum(holders.size());
  }

  private boolean isExpired(long nowMs) {
    int copies = Math.min(RosterView.REPLICATION_FACTOR, roster.previousMembers().size());
    return unlocked.size() < RosterView.quorum(copies) && nowMs - lastLockMs > ttlMs;
  }
}
