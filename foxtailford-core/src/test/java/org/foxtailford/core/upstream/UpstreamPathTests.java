package org.foxtailford.core.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A VM tells a cut of its own path from upstreams that are out of reach for all. */
public class UpstreamPathTests {

  private static final int KNOWN = 40;

  private long nowMs;
  private UpstreamPath path;

  @BeforeMethod
  public void begin() {
    nowMs = 10_000;
    path = new UpstreamPath(() -> nowMs);
  }

  @Test
  public void failuresAtSeveralUpstreamsRaiseADoubtThatProbesSettle() {
    fail("u1", "u2");
    assertThat(path.isRoundDue(0, KNOWN)).isFalse();
    fail("u3");
    assertThat(path.isRoundDue(0, KNOWN)).isTrue();
    path.beginRound(List.of("u4", "u5", "u6"));
    assertThat(path.isRoundDue(0, KNOWN)).isFalse();
    assertThat(path.recordProbe("u4", false)).isFalse();
    assertThat(path.recordProbe("u5", false)).isFalse();
    assertThat(path.isCutOff()).isFalse();
    assertThat(path.recordProbe("u6", false)).isTrue();
    assertThat(path.isCutOff()).isTrue();
  }

  @Test
  public void singleConnectionShowsThatThePathIsSound() {
    fail("u1", "u2", "u3");
    path.beginRound(List.of("u1", "u4"));
    path.recordProbe("u4", true);
    path.recordProbe("u1", false);
    assertThat(path.isCutOff()).isFalse();
    fail("u1", "u2", "u3");
    assertThat(path.isRoundDue(0, KNOWN)).isFalse();
    nowMs += 1000;
    assertThat(path.isRoundDue(0, KNOWN)).isTrue();
  }

  @Test
  public void silenceOfAllRaisesADoubtButNotThatOfAFew() {
    nowMs += UpstreamPath.SILENCE_MS;
    assertThat(path.isRoundDue(2, KNOWN)).isFalse();
    assertThat(path.isRoundDue(3, KNOWN)).isTrue();
    path.recordAnswer();
    assertThat(path.isRoundDue(3, KNOWN)).isFalse();
  }

  @Test
  public void cutOffVmProbesUntilOneSucceeds() {
    fail("u1", "u2", "u3");
    path.beginRound(List.of("u1"));
    path.recordProbe("u1", false);
    assertThat(path.isRoundDue(0, KNOWN)).isFalse();
    nowMs += 200;
    assertThat(path.isRoundDue(0, KNOWN)).isTrue();
    path.beginRound(List.of("u2"));
    assertThat(path.recordProbe("u2", true)).isTrue();
    assertThat(path.isCutOff()).isFalse();
  }

  @Test
  public void lossOfTheOnlyUpstreamIsNoCut() {
    fail("u1");
    assertThat(path.isRoundDue(1, 1)).isFalse();
  }

  // A cut-off VM that knew one upstream at last probed no more, and stayed cut off for good.
  @Test
  public void cutOffVmProbesTheOnlyUpstreamThatIsLeft() {
    fail("u1", "u2", "u3");
    path.beginRound(List.of("u1"));
    path.recordProbe("u1", false);
    nowMs += 200;
    assertThat(path.isRoundDue(0, 0)).isFalse();
    assertThat(path.isRoundDue(0, 1)).isTrue();
  }

  @Test
  public void oldFailuresRaiseNoDoubt() {
    fail("u1", "u2");
    nowMs += 2000;
    fail("u3");
    assertThat(path.isRoundDue(0, KNOWN)).isFalse();
  }

  private void fail(String... upstreams) {
    for (String upstream : upstreams) {
      path.recordFailure(upstream);
    }
  }
}
