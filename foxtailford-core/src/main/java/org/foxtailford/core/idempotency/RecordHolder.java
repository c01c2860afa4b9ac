package org.foxtailford.core.idempotency;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.ClaimResult;
import org.foxtailford.schema.ClaimState;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.HandedClaim;
import org.foxtailford.schema.HandedRecord;
import org.foxtailford.schema.KeptAnswer;
import org.foxtailford.schema.RecordMember;
import org.foxtailford.schema.RecordRoster;
import org.jspecify.annotations.Nullable;

/**
 * Holds records of request ids on one entry VM and decides claims on them.
 *
 * <p>A holder grants a claim only under the newest roster that it knows, only if that roster makes
 * it a holder of the record, and only if no earlier claim may have run. Records are never evicted
 * for lack of capacity, since that would allow a second run: new claims are refused instead.
 * Thread-safe.
 */
public final class RecordHolder {

  /** Maximum number of records in one page of a handover. */
  static final int PAGE_RECORDS = 2000;

  /** Total size of answers after which a page of a handover ends, in bytes. */
  static final int PAGE_ANSWER_BYTES = 256 << 10;

  private static final int MAX_RETRY_AFTER_MS = 1000;

  private final RecordMember self;
  private final RecordLimits limits;
  private final MillisClock clock;
  private final NavigableMap<String, RequestRecord> records = new TreeMap<>();
  private final Queue<Expiry> expiries = new PriorityQueue<>();
  private final Cache<String, KeptAnswer> answers;
  private final Set<Long> completeVersions = new HashSet<>();
  private RosterView roster = new RosterView(RecordRoster.getDefaultInstance());
  private @Nullable HandoverProgress progress;

  private record Expiry(long expiresAtMs, String key) implements Comparable<Expiry> {
    @Override
    public int compareTo(Expiry other) {
      return Long.compare(expiresAtMs, other.expiresAtMs);
    }
  }

  /**
   * Creates a holder without records.
   *
   * @param self this process
   * @param limits limits on this holder's records
   * @param clock this VM's clock
   */
  public RecordHolder(RecordMember self, RecordLimits limits, MillisClock clock) {
    this.self = Assert.notNull(self, "self");
    this.limits = Assert.notNull(limits, "limits");
    this.clock = Assert.notNull(clock, "clock");
    this.answers =
        Caffeine.newBuilder()
            .executor(Runnable::run)
            .maximumWeight(limits.maxTotalAnswerBytes())
            .weigher((String key, KeptAnswer answer) -> answer.getSerializedSize())
            .build();
  }

  /** Adopts a roster if it is newer than the known one; otherwise has no effect. */
  public synchronized void adopt(RecordRoster newer) {
    if (newer.getVersion() <= roster.version()) {
      return;
    }
    long nowMs = clock.nowMs();
    if (isSettled()) {
      completeVersions.add(roster.version());
    }
    RosterView adopted = new RosterView(newer);
    boolean complete = completeVersions.contains(adopted.version() - 1);
    roster = adopted;
    progress = new HandoverProgress(adopted, self, complete, limits.ttlMs(), nowMs);
  }

  /** Returns the newest known roster, whether read from the table or received from a peer. */
  public synchronized RosterView roster() {
    return roster;
  }

  /** Returns the version of the newest known roster, or 0 if none is known. */
  public synchronized long rosterVersion() {
    return roster.version();
  }

  /** Returns whether the newest known roster contains this process. */
  public synchronized boolean isMember() {
    return roster.members().contains(self);
  }

  /** Returns whether this holder has every record that it may need to decide a claim. */
  public synchronized boolean isSettled() {
    HandoverProgress current = progress;
    return current != null && current.isComplete(clock.nowMs());
  }

  /** Returns the number of records that have not expired. */
  public synchronized int size() {
    purge(clock.nowMs());
    return records.size();
  }

  /** Grants or refuses a claim, and records it if granted. */
  public synchronized ClaimAnswer claim(ClaimRequest request) {
    long nowMs = clock.nowMs();
    purge(nowMs);
    String key = RosterView.recordKey(request.getService(), request.getRequestId());
    HandoverProgress handover = progress;
    if (handover == null
        || roster.version() != request.getRosterVersion()
        || !roster.holders(key).contains(self)) {
      return answer(ClaimResult.CLAIM_RESULT_OTHER_ROSTER);
    }
    RequestRecord record = records.get(key);
    if (record != null && record.fingerprint() != request.getFingerprint()) {
      return answer(ClaimResult.CLAIM_RESULT_ID_REUSED);
    }
    if (record != null && !record.allowsClaim(request.getClaim())) {
      return refuse(key, record, nowMs);
    }
    if (!handover.isComplete(key, nowMs) && !request.getFirstSend()) {
      return answer(ClaimResult.CLAIM_RESULT_INCOMPLETE);
    }
    if (record == null && records.size() >= limits.maxRecords()) {
      return answer(ClaimResult.CLAIM_RESULT_FULL);
    }
    long runDeadlineMs = nowMs + Math.min(request.getRunMs(), limits.maxRunMs());
    getOrCreateRecord(key, request.getFingerprint(), nowMs)
        .mergeClaim(request.getClaim(), ClaimState.CLAIM_STATE_CLAIMED, runDeadlineMs, nowMs);
    scheduleExpiry(key, nowMs);
    return answer(ClaimResult.CLAIM_RESULT_GRANTED);
  }

  private ClaimAnswer refuse(String key, RequestRecord record, long nowMs) {
    ClaimAnswer.Builder refusal = ClaimAnswer.newBuilder();
    if (record.hasClaimIn(ClaimState.CLAIM_STATE_ANSWERED)) {
      KeptAnswer kept = answers.getIfPresent(key);
      if (kept != null) {
        refusal.setAnswer(kept);
      }
      return refusal.setResult(ClaimResult.CLAIM_RESULT_ANSWERED).build();
    }
    long remainingMs = record.remainingMs(nowMs);
    if (record.hasClaimIn(ClaimState.CLAIM_STATE_UNKNOWN) || remainingMs == 0) {
      return refusal.setResult(ClaimResult.CLAIM_RESULT_UNKNOWN).build();
    }
    return refusal
        .setResult(ClaimResult.CLAIM_RESULT_IN_PROGRESS)
        .setRetryAfterMs((int) Math.min(remainingMs, MAX_RETRY_AFTER_MS))
        .build();
  }

  private static ClaimAnswer answer(ClaimResult result) {
    return ClaimAnswer.newBuilder().setResult(result).build();
  }

  /**
   * Records how a run ended, under whichever roster it was claimed. Ignored if the record has
   * another fingerprint, or is absent while this holder is full.
   */
  public synchronized void recordEnd(ClaimEnd end) {
    long nowMs = clock.nowMs();
    purge(nowMs);
    String key = RosterView.recordKey(end.getService(), end.getRequestId());
    RequestRecord record = records.get(key);
    if (record == null && records.size() >= limits.maxRecords()) {
      return;
    }
    if (record != null && record.fingerprint() != end.getFingerprint()) {
      return;
    }
    getOrCreateRecord(key, end.getFingerprint(), nowMs)
        .mergeClaim(end.getClaim(), end.getState(), nowMs, nowMs);
    scheduleExpiry(key, nowMs);
    if (end.hasAnswer() && end.getAnswer().getSerializedSize() <= limits.maxAnswerBytes()) {
      answers.put(key, end.getAnswer());
    }
  }

  /** Returns the members of the previous roster whose records are still to be fetched. */
  public synchronized List<RecordMember> pendingSources() {
    HandoverProgress current = progress;
    return current == null || isSettled() ? List.of() : current.pendingSources();
  }

  /**
   * Returns a page of records for a receiver. From then on, this holder grants no claims under a
   * roster older than the requested one.
   */
  public synchronized HandOverPage handOver(HandOverRequest request) {
    long nowMs = clock.nowMs();
    purge(nowMs);
    adopt(request.getRoster());
    RosterView receivers = new RosterView(request.getRoster());
    HandOverPage.Builder page = HandOverPage.newBuilder().setLast(true);
    page.setSettledVersion(isSettled() ? rosterVersion() : 0);
    page.setComplete(completeVersions.contains(receivers.version() - 1));
    Map<String, RequestRecord> remaining = records.tailMap(request.getAfterKey(), false);
    int answerBytes = 0;
    for (Map.Entry<String, RequestRecord> entry : remaining.entrySet()) {
      if (!receivers.holders(entry.getKey()).contains(request.getReceiver())) {
        continue;
      }
      if (page.getRecordsCount() == PAGE_RECORDS || answerBytes >= PAGE_ANSWER_BYTES) {
        page.setLast(false);
        break;
      }
      HandedRecord handed = toHandedRecord(entry.getKey(), entry.getValue(), nowMs);
      answerBytes += handed.getAnswer().getSerializedSize();
      page.addRecords(handed);
    }
    return page.build();
  }

  private HandedRecord toHandedRecord(String key, RequestRecord record, long nowMs) {
    HandedRecord handed = record.toHandedRecord(key, nowMs);
    KeptAnswer answer = answers.getIfPresent(key);
    return answer == null ? handed : handed.toBuilder().setAnswer(answer).build();
  }

  /**
   * Merges records handed over by another member.
   *
   * @param source member that sent the page
   * @param version roster version under which the page was requested
   * @param page records to merge
   */
  public synchronized void receive(RecordMember source, long version, HandOverPage page) {
    long nowMs = clock.nowMs();
    purge(nowMs);
    page.getRecordsList().forEach(handed -> mergeRecord(handed, nowMs));
    HandoverProgress current = progress;
    if (current == null || version != rosterVersion()) {
      return;
    }
    current.recordLock(source, nowMs);
    if (page.getLast() && page.getComplete()) {
      current.recordCompletion(source);
    }
  }

  private void mergeRecord(HandedRecord handed, long nowMs) {
    long modifiedAtMs = nowMs - handed.getAgeMs();
    RequestRecord record =
        getOrCreateRecord(handed.getKey(), handed.getFingerprint(), modifiedAtMs);
    for (HandedClaim claim : handed.getClaimsList()) {
      record.mergeClaim(claim.getClaim(), claim.getState(), nowMs + claim.getRunMs(), modifiedAtMs);
    }
    scheduleExpiry(handed.getKey(), modifiedAtMs);
    if (handed.hasAnswer()) {
      answers.put(handed.getKey(), handed.getAnswer());
    }
  }

  private RequestRecord getOrCreateRecord(String key, long fingerprint, long nowMs) {
    return records.computeIfAbsent(key, absent -> new RequestRecord(fingerprint, nowMs));
  }

  private void scheduleExpiry(String key, long modifiedAtMs) {
    expiries.add(new Expiry(modifiedAtMs + limits.ttlMs(), key));
  }

  private void purge(long nowMs) {
    List<String> expired = new ArrayList<>();
    for (Expiry e = expiries.peek(); e != null && e.expiresAtMs() <= nowMs; e = expiries.peek()) {
      expired.add(expiries.remove().key());
    }
    for (String key : expired) {
      RequestRecord record = records.get(key);
      if (record != null && record.modifiedAtMs() + limits.ttlMs() <= nowMs) {
        records.remove(key);
        answers.invalidate(key);
      }
    }
  }
}
