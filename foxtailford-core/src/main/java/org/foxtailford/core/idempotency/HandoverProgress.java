package org.foxtailford.core.idempotency;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailford.schema.RecordMember;

/**
 * Tracks which records of the previous roster one holder has received. Not thread-safe.
 *
 * <p>A record can be missing only while a quorum of its previous holders has not handed over. A
 * member that has been asked for its records is locked: it grants no more claims under the previous
 * version.
 */
final class HandoverProgress {

  private final RosterView roster;
  private final long ttlMs;
  private final Set<RecordMember> pending;
  private final Set<RecordMember> unlocked;
  private long lastLockMs;

  HandoverProgress(
      RosterView roster, RecordMember self, boolean selfComplete, long ttlMs, long nowMs) {
    this.roster = roster;
    this.ttlMs = ttlMs;
    this.pending = new HashSet<>(roster.previousMembers());
    this.unlocked = new HashSet<>(roster.previousMembers());
    this.lastLockMs = nowMs;
    unlocked.retainAll(roster.members());
    unlocked.remove(self);
    if (selfComplete) {
      pending.remove(self);
    }
  }

  /** Records that a member grants no more claims under the previous version. */
  void recordLock(RecordMember source, long nowMs) {
    if (unlocked.remove(source)) {
      lastLockMs = nowMs;
    }
  }

  /** Records that a member with a complete set of records has handed over its last one. */
  void recordCompletion(RecordMember source) {
    pending.remove(source);
  }

  /** Returns the members whose handover isn't complete yet. */
  List<RecordMember> pendingSources() {
    return List.copyOf(pending);
  }

  /**
   * Returns whether this member has every record of the previous version that it needs, or those
   * that it lacks have expired.
   */
  boolean isComplete(long nowMs) {
    int copies = Math.min(RosterView.REPLICATION_FACTOR, roster.previousMembers().size());
    return pending.size() < RosterView.quorum(copies) || isExpired(nowMs);
  }

  /** Returns whether this member has the record of one key, unless there was none or it expired. */
  boolean isComplete(String key, long nowMs) {
    if (isComplete(nowMs)) {
      return true;
    }
    List<RecordMember> holders = roster.previousHolders(key);
    long pendingHolders = holders.stream().filter(pending::contains).count();
    return pendingHolders < RosterView.quorum(holders.size());
  }

  /**
   * Returns whether too few members can still grant under the previous version to form a quorum,
   * and this has been so for longer than the TTL, so that every missing record has expired.
   */
  private boolean isExpired(long nowMs) {
    int copies = Math.min(RosterView.REPLICATION_FACTOR, roster.previousMembers().size());
    return unlocked.size() < RosterView.quorum(copies) && nowMs - lastLockMs > ttlMs;
  }
}
