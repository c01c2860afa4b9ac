package org.foxtailford.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class MisdirectionPausesTests {

  private static final int KEY = 4711;

  /** Replays a move that takes a second, with a request every 20 ms. */
  @Test
  public void fewRequestsAreSentToTheOldOwnerDuringAMove() {
    MisdirectionPauses pauses = new MisdirectionPauses();
    int rejected = 0;
    for (long nowMs = 0; nowMs < 1000; nowMs += 20) {
      if (!pauses.isPaused(KEY, 7, nowMs)) {
        rejected++;
        pauses.recordRejection(KEY, 7, nowMs);
      }
    }
    assertThat(rejected).isLessThanOrEqualTo(3);
    assertThat(pauses.isPaused(KEY, 8, 1000)).as("newer assignment").isFalse();
    assertThat(pauses.isPaused(KEY + 1, 7, 1000)).as("another key").isFalse();
  }

  @Test
  public void rejectionOfARequestSentBeforeThePauseDoesNotExtendIt() {
    MisdirectionPauses pauses = new MisdirectionPauses();
    pauses.recordRejection(KEY, 7, 0);
    pauses.recordRejection(KEY, 7, MisdirectionPauses.INITIAL_PAUSE_MS - 1);
    assertThat(pauses.isPaused(KEY, 7, MisdirectionPauses.INITIAL_PAUSE_MS)).isFalse();
  }

  @Test
  public void pausesStayBoundedAndAreForgotten() {
    MisdirectionPauses pauses = new MisdirectionPauses();
    long nowMs = 0;
    for (int i = 0; i < 10; i++) {
      pauses.recordRejection(KEY, 7, nowMs);
      assertThat(pauses.isPaused(KEY, 7, nowMs + MisdirectionPauses.MAX_PAUSE_MS)).isFalse();
      nowMs += MisdirectionPauses.MAX_PAUSE_MS;
    }
    nowMs += 2 * MisdirectionPauses.MAX_PAUSE_MS;
    pauses.removeOutdated(nowMs);
    pauses.recordRejection(KEY, 7, nowMs);
    assertThat(pauses.isPaused(KEY, 7, nowMs + MisdirectionPauses.INITIAL_PAUSE_MS)).isFalse();
  }
}
