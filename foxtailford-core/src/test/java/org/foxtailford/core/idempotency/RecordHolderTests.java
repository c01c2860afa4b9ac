package org.foxtailford.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimId;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.ClaimResult;
import org.foxtailford.schema.ClaimState;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.KeptAnswer;
import org.foxtailford.schema.RecordMember;
import org.foxtailford.schema.RecordRoster;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RecordHolderTests {

  private static final RecordMember A = member("a", 1);
  private static final RecordMember B = member("b", 1);
  private static final RecordMember NEW_A = member("a", 2);
  private static final RecordRoster FIRST = roster(1, List.of(A, B), List.of());
  private static final RecordRoster SECOND = roster(2, List.of(NEW_A, B), List.of(A, B));
  private static final RecordLimits LIMITS = new RecordLimits(1000, 2, 100, 1000);

  private long nowMs;
  private RecordHolder holder;

  @BeforeMethod
  public void create() {
    nowMs = 0;
    holder = new RecordHolder(A, LIMITS, () -> nowMs);
    holder.adopt(FIRST);
  }

  @Test
  public void secondClaimIsInProgressUntilTheFirstRunTimesOut() {
    assertThat(claim(1, "id")).isEqualTo(ClaimResult.CLAIM_RESULT_GRANTED);
    assertThat(claim(2, "id")).isEqualTo(ClaimResult.CLAIM_RESULT_IN_PROGRESS);
    nowMs += 200;
    assertThat(claim(2, "id")).isEqualTo(ClaimResult.CLAIM_RESULT_UNKNOWN);
  }

  @Test
  public void duplicateMessageOfTheSameClaimIsGrantedAgain() {
    claim(1, "id");
    assertThat(claim(1, "id")).isEqualTo(ClaimResult.CLAIM_RESULT_GRANTED);
  }

  @Test
  public void releasedClaimFreesTheIdAndIsNeverGrantedAgain() {
    claim(1, "id");
    end(1, ClaimState.CLAIM_STATE_RELEASED);
    assertThat(claim(1, "id")).isNotEqualTo(ClaimResult.CLAIM_RESULT_GRANTED);
    assertThat(claim(2, "id")).isEqualTo(ClaimResult.CLAIM_RESULT_GRANTED);
  }

  @Test
  public void releaseThatOvertakesItsClaimStillCounts() {
    end(1, ClaimState.CLAIM_STATE_RELEASED);
    assertThat(claim(1, "id")).isNotEqualTo(ClaimResult.CLAIM_RESULT_GRANTED);
  }

  @Test
  public void keptAnswerIsReplayed() {
    claim(1, "id");
    holder.recordEnd(
        ended(1, ClaimState.CLAIM_STATE_ANSWERED)
            .setAnswer(KeptAnswer.newBuilder().setStatus(201))
            .build());
    var answer = holder.claim(request(2, "id", 7, 1));
    assertThat(answer.getResult()).isEqualTo(ClaimResult.CLAIM_RESULT_ANSWERED);
    assertThat(answer.getAnswer().getStatus()).isEqualTo(201);
  }

  @Test
  public void lateEndDoesNotOverrideAnAnswer() {
    end(1, ClaimState.CLAIM_STATE_ANSWERED);
    end(1, ClaimState.CLAIM_STATE_UNKNOWN);
    assertThat(claim(2, "id")).isEqualTo(ClaimResult.CLAIM_RESULT_ANSWERED);
  }

  @Test
  public void otherContentUnderTheSameIdIsRefused() {
    claim(1, "id");
    assertThat(holder.claim(request(2, "id", 8, 1)).getResult())
        .isEqualTo(ClaimResult.CLAIM_RESULT_ID_REUSED);
  }

  @Test
  public void fullHolderRefusesNewIdsAndKeepsItsRecords() {
    claim(1, "id1");
    claim(1, "id2");
    assertThat(claim(1, "id3")).isEqualTo(ClaimResult.CLAIM_RESULT_FULL);
    assertThat(claim(2, "id1")).isEqualTo(ClaimResult.CLAIM_RESULT_IN_PROGRESS);
  }

  @Test
  public void recordsExpire() {
    claim(1, "id");
    nowMs += LIMITS.ttlMs();
    assertThat(holder.size()).isZero();
  }

  @Test
  public void claimUnderAnotherRosterIsRefused() {
    assertThat(holder.claim(request(1, "id", 7, 2)).getResult())
        .isEqualTo(ClaimResult.CLAIM_RESULT_OTHER_ROSTER);
  }

  @Test
  public void handoverLocksTheEarlierRoster() {
    HandOverPage page = holder.handOver(handOver(SECOND, NEW_A));
    assertThat(page.getComplete()).isTrue();
    assertThat(claim(1, "id")).isEqualTo(ClaimResult.CLAIM_RESULT_OTHER_ROSTER);
  }

  @Test
  public void replacedMemberRefusesUntilTheRecordsAreHandedOver() {
    RecordHolder b = new RecordHolder(B, LIMITS, () -> nowMs);
    b.adopt(FIRST);
    b.claim(request(1, "id", 7, 1));
    RecordHolder replacement = new RecordHolder(NEW_A, LIMITS, () -> nowMs);
    replacement.adopt(SECOND);
    assertThat(replacement.claim(request(2, "id", 7, 2)).getResult())
        .isEqualTo(ClaimResult.CLAIM_RESULT_INCOMPLETE);
    replacement.receive(B, 2, b.handOver(handOver(SECOND, NEW_A)));
    assertThat(replacement.isSettled()).isTrue();
    assertThat(replacement.claim(request(2, "id", 7, 2)).getResult())
        .isEqualTo(ClaimResult.CLAIM_RESULT_IN_PROGRESS);
  }

  @Test
  public void answerSurvivesTheMemberThatKeptIt() {
    claim(1, "id");
    holder.recordEnd(answered(KeptAnswer.newBuilder().setStatus(201).build()));
    RecordRoster extended = roster(2, List.of(A, B), List.of(A));
    RecordHolder b = new RecordHolder(B, LIMITS, () -> nowMs);
    b.adopt(extended);
    b.receive(A, 2, holder.handOver(handOver(extended, B)));
    var answer = b.claim(request(2, "id", 7, 2));
    assertThat(answer.getAnswer().getStatus()).isEqualTo(201);
  }

  @Test
  public void handoverPageSizeIsLimitedByItsAnswers() {
    RecordLimits limits = new RecordLimits(1000, 100, 100_000, 1 << 20);
    RecordHolder source = new RecordHolder(A, limits, () -> nowMs);
    source.adopt(FIRST);
    KeptAnswer large =
        KeptAnswer.newBuilder().setBody(ByteString.copyFrom(new byte[60_000])).build();
    for (int i = 0; i < 20; i++) {
      source.recordEnd(answered(large).toBuilder().setRequestId("id" + i).build());
    }
    HandOverPage page = source.handOver(handOver(SECOND, NEW_A));
    assertThat(page.getLast()).isFalse();
    assertThat(page.getSerializedSize())
        .isLessThan(RecordHolder.PAGE_ANSWER_BYTES + limits.maxAnswerBytes());
  }

  @Test
  public void firstSendIsGrantedByAnIncompleteMember() {
    RecordHolder replacement = new RecordHolder(NEW_A, LIMITS, () -> nowMs);
    replacement.adopt(SECOND);
    ClaimRequest first = request(1, "id", 7, 2).toBuilder().setFirstSend(true).build();
    assertThat(replacement.claim(first).getResult()).isEqualTo(ClaimResult.CLAIM_RESULT_GRANTED);
  }

  @Test
  public void holderSettlesOneTtlAfterTheLossOfTooManyHolders() {
    RecordMember newB = member("b", 2);
    RecordHolder replacement = new RecordHolder(NEW_A, LIMITS, () -> nowMs);
    replacement.adopt(roster(2, List.of(NEW_A, newB), List.of(A, B)));
    nowMs += LIMITS.ttlMs();
    assertThat(replacement.isSettled()).isFalse();
    nowMs += 1;
    assertThat(replacement.isSettled()).isTrue();
  }

  private ClaimResult claim(long number, String id) {
    return holder.claim(request(number, id, 7, 1)).getResult();
  }

  private void end(long number, ClaimState state) {
    holder.recordEnd(ended(number, state).build());
  }

  private static ClaimRequest request(long number, String id, long fingerprint, long version) {
    return ClaimRequest.newBuilder()
        .setRosterVersion(version)
        .setService("s")
        .setRequestId(id)
        .setFingerprint(fingerprint)
        .setClaim(ClaimId.newBuilder().setNumber(number))
        .setRunMs(200)
        .build();
  }

  private static ClaimEnd.Builder ended(long number, ClaimState state) {
    return ClaimEnd.newBuilder()
        .setService("s")
        .setRequestId("id")
        .setFingerprint(7)
        .setClaim(ClaimId.newBuilder().setNumber(number))
        .setState(state);
  }

  private static ClaimEnd answered(KeptAnswer answer) {
    return ended(1, ClaimState.CLAIM_STATE_ANSWERED).setAnswer(answer).build();
  }

  private static HandOverRequest handOver(RecordRoster roster, RecordMember receiver) {
    return HandOverRequest.newBuilder().setRoster(roster).setReceiver(receiver).build();
  }

  private static RecordMember member(String vm, long bootId) {
    return RecordMember.newBuilder().setVm(vm).setBootId(bootId).setDataCentre(vm).build();
  }

  private static RecordRoster roster(
      long version, List<RecordMember> members, List<RecordMember> previous) {
    return RecordRoster.newBuilder()
        .setVersion(version)
        .addAllMembers(members)
        .addAllPrevious(previous)
        .build();
  }
}
