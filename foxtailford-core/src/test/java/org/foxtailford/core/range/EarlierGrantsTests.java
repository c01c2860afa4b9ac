package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EarlierGrantsTests {

  private static final long WINDOW_MS = LeadershipTiming.GRANT_RENEWAL_WINDOW_MS;

  @Test
  public void chainOfIncarnationsWaitsForTheLeaderBeforeAllOfThem() {
    EarlierGrants first = EarlierGrants.afterTakeover(1000);
    EarlierGrants second =
        EarlierGrants.afterEarlierIncarnation(OptionalLong.of(first.leftMs(1500)), 2000);
    EarlierGrants third =
        EarlierGrants.afterEarlierIncarnation(OptionalLong.of(second.leftMs(2500)), 3000);
    assertThat(second.untilMs()).isBetween(first.untilMs(), first.untilMs() + 500);
    assertThat(third.untilMs()).isBetween(second.untilMs(), second.untilMs() + 500);
  }

  @Test
  public void leaderOfWhichAllEarlierOnesHaveEndedLeavesNoneToItsNextIncarnation() {
    long nowMs = 1000 + WINDOW_MS;
    long leftMs = EarlierGrants.afterTakeover(1000).leftMs(nowMs);
    assertThat(EarlierGrants.afterEarlierIncarnation(OptionalLong.of(leftMs), nowMs))
        .isEqualTo(EarlierGrants.none(nowMs));
  }

  @DataProvider
  public Object[][] statements() {
    return new Object[][] {
      {OptionalLong.empty()},
      {OptionalLong.of(-1)},
      {OptionalLong.of(WINDOW_MS + 1)},
      {OptionalLong.of(Long.MAX_VALUE)}
    };
  }

  @Test(dataProvider = "statements")
  public void missingOrImpossibleStatementCountsAsTheLongestTime(OptionalLong statedLeftMs) {
    assertThat(EarlierGrants.afterEarlierIncarnation(statedLeftMs, 500).untilMs())
        .isEqualTo(500 + WINDOW_MS);
  }
}
