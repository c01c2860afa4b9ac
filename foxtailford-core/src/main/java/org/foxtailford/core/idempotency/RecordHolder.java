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
 * Records of request ids that one entry VM holds.
 *
 * <p>A holder grants a claim only under the newest roster that it knows, only if it holds the
 * record under that roster, and only if no earlier claim may have run. Records are never dropped
 * for lack of room: new claims are refused instead. Thread-safe.
 */
public final class RecordHolder {

  /** Records in one page of a hand-over. */
  static final int PAGE_RECORDS = 2000;

  /** Bytes of answers after which a page of a hand-over ends. */
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

  private record Expiry(long dueMs, String key) implements Comparable<Expiry> {
    @Override
    public int compareTo(Expiry other) {
      return Long.compare(dueMs, other.dueMs);
    }
  }

  /**
   * Creates a holder without records.
   *
   * @param self this process
   * @param limits bounds of its records
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

  /** Takes a roster unless it knows a newer one. */
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

  /** Returns the newest roster that it knows, wherever it came from. */
  public synchronized RosterView roster() {
    return roster;
  }

  /** Returns the version of the roster in force, or 0. */
  public synchronized long rosterVersion() {
    return roster.version();
  }

  /** Tells whether the roster in force names this process. */
  public synchronized boolean isMember() {
    return roster.members().contains(self);
  }

  /** Tells whether it has every record that it might need. */
  public synchronized boolean isSettled() {
    HandoverProgress known = progress;
    return known != null && known.isComplete(clock.nowMs());
  }

  /** Returns the number of records. */
  public synchronized int size() {
    purge(clock.nowMs());
    return records.size();
  }

  /** Decides on a claim. */
  public synchronized ClaimAnswer claim(ClaimRequest request) {
    long nowMs = clock.nowMs();
    purge(nowMs);
    String key = RosterView.recordKey(request.getService(), request.getRequestId());
    HandoverProgress handOver = progress;
    if (handOver == null
        || roster.version() != request.getRosterVersion()
        || !roster.holders(key).contains(self)) {
      return answer(ClaimResult.CLAIM_RESULT_OTHER_ROSTER);
    }
    RequestRecord record = records.get(key);
    if (record != null && record.fingerprint() != request.getFingerprint()) {
      return answer(ClaimResult.CLAIM_RESULT_ID_REUSED);
    }
    if (record != null && !record.isFreeFor(request.getClaim())) {
      return refuse(key, record, nowMs);
    }
    if (!handOver.isComplete(key, nowMs) && !request.getFirstSend()) {
      return answer(ClaimResult.CLAIM_RESULT_INCOMPLETE);
    }
    if (record == null && records.size() >= limits.maxRecords()) {
      return answer(ClaimResult.CLAIM_RESULT_FULL);
    }
    long untilMs = nowMs + Math.min(request.getRunMs(), limits.maxRunMs());
    recordOf(key, request.getFingerprint(), nowMs)
        .join(request.getClaim(), ClaimState.CLAIM_STATE_CLAIMED, untilMs, nowMs);
    expireLater(key, nowMs);
    return answer(ClaimResult.CLAIM_RESULT_GRANTED);
  }

  private ClaimAnswer refuse(String key, RequestRecord record, long nowMs) {
    ClaimAnswer.Builder refusal = ClaimAnswer.newBuilder();
    if (record.has(ClaimState.CLAIM_STATE_ANSWERED)) {
      KeptAnswer kept = answers.getIfPresent(key);
      if (kept != null) {
        refusal.setAnswer(kept);
      }
      return refusal.setResult(ClaimResult.CLAIM_RESULT_ANSWERED).build();
    }
    long remainingMs = record.remainingMs(nowMs);
    if (record.has(ClaimState.CLAIM_STATE_UNKNOWN) || remainingMs == 0) {
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

  /** Notes how a run ended, whatever the roster. */
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
    recordOf(key, end.getFingerprint(), nowMs).join(end.getClaim(), end.getState(), nowMs, nowMs);
    expireLater(key, nowMs);
    if (end.hasAnswer() && end.getAnswer().getSerializedSize() <= limits.maxAnswerBytes()) {
      answers.put(key, end.getAnswer());
    }
  }

  /** Returns the members of the previous roster to ask for their records. */
  public synchronized List<RecordMember> pendingSources() {
    HandoverProgress known = progress;
    return known == null || isSettled() ? List.of() : known.pendingSources();
  }

  /** Hands over records; from then on nothing is granted under an earlier roster. */
  public synchronized HandOverPage handOver(HandOverRequest request) {
    long nowMs = clock.nowMs();
    purge(nowMs);
    adopt(request.getRoster());
    RosterView receivers = new RosterView(request.getRoster());
    HandOverPage.Builder page = HandOverPage.newBuilder().setLast(true);
    page.setSettledVersion(isSettled() ? rosterVersion() : 0);
    page.setComplete(completeVersions.contains(receivers.version() - 1));
    Map<String, RequestRecord> rest = records.tailMap(request.getAfterKey(), false);
    int answerBytes = 0;
    for (Map.Entry<String, RequestRecord> entry : rest.entrySet()) {
      if (!receivers.holders(entry.getKey()).contains(request.getReceiver())) {
        continue;
      }
      if (page.getRecordsCount() == PAGE_RECORDS || answerBytes >= PAGE_ANSWER_BYTES) {
        page.setLast(false);
        break;
      }
      HandedRecord handed = toHanded(entry.getKey(), entry.getValue(), nowMs);
      answerBytes += handed.getAnswer().getSerializedSize();
      page.addRecords(handed);
    }
    return page.build();
  }

  private HandedRecord toHanded(String key, RequestRecord record, long nowMs) {
    HandedRecord handed = record.toHanded(key, nowMs);
    KeptAnswer answer = answers.getIfPresent(key);
    return answer == null ? handed : handed.toBuilder().setAnswer(answer).build();
  }

  /**
   * Takes records of another member.
   *
   * @param source the member
   * @param version roster version of the request
   * @param page its answer
   */
  public synchronized void receive(RecordMember source, long version, HandOverPage page) {
    long nowMs = clock.nowMs();
    purge(nowMs);
    page.getRecordsList().forEach(handed -> merge(handed, nowMs));
    HandoverProgress known = progress;
    if (known == null || version != rosterVersion()) {
      return;
    }
    known.recordLock(source, nowMs);
    if (page.getLast() && page.getComplete()) {
      known.recordCompletion(source);
    }
  }

  private void merge(HandedRecord handed, long nowMs) {
    long touchedMs = nowMs - handed.getAgeMs();
    RequestRecord record = recordOf(handed.getKey(), handed.getFingerprint(), touchedMs);
    for (HandedClaim claim : handed.getClaimsList()) {
      record.join(claim.getClaim(), claim.getState(), nowMs + claim.getRunMs(), touchedMs);
    }
    expireLater(handed.getKey(), touchedMs);
    if (handed.hasAnswer()) {
      answers.put(handed.getKey(), handed.getAnswer());
    }
  }

  private RequestRecord recordOf(String key, long fingerprint, long nowMs) {
    return records.computeIfAbsent(key, absent -> new RequestRecord(fingerprint, nowMs));
  }

  private void expireLater(String key, long touchedMs) {
    expiries.add(new Expiry(touchedMs + limits.ttlMs(), key));
  }

  private void purge(long nowMs) {
    List<String> expired = new ArrayList<>();
    for (Expiry e = expiries.peek(); e != null && e.dueMs() <= nowMs; e = expiries.peek()) {
      expired.add(expiries.remove().key());
    }
    for (String key : expired) {
      RequestRecord record = records.get(key);
      if (record != null && record.touchedMs() + limits.ttlMs() <= nowMs) {
        records.remove(key);
        answers.invalidate(key);
      }
    }
  }
}
