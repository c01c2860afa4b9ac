package org.foxtailford.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.foxtailford.schema.HomeRanges;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StalledMovesTests {

  private static final String SERVICE = "menu";
  private static final HomeRanges ROW =
      HomeDirectory.initial(SERVICE, 4, List.of("a", "b")).toBuilder().setWriteId(1).build();
  private static final HomeRanges LATER = ROW.toBuilder().setWriteId(2).build();

  private long nowMs;
  private HomesReading reading;
  private StalledMoves moves;

  @BeforeMethod
  public void begin() {
    nowMs = 10_000;
    reading = reading(ROW);
    moves = new StalledMoves(() -> reading, () -> nowMs);
    moves.recordTableResponse(nowMs);
  }

  private HomesReading reading(HomeRanges row) {
    return new HomesReading(HomeDirectory.of(List.of(row)), nowMs);
  }

  @Test
  public void aTableThatWasNeverAskedIsNotLost() {
    nowMs += StalledMoves.TABLE_TIMEOUT_MS;
    assertThat(new StalledMoves(() -> reading, () -> nowMs).isStalled(SERVICE)).isFalse();
  }

  @Test
  public void movesGoOnWhileTheTableAnswers() {
    nowMs += StalledMoves.TABLE_TIMEOUT_MS - 1;
    assertThat(moves.isStalled(SERVICE)).isFalse();
    moves.recordTableResponse(nowMs);
    nowMs += StalledMoves.TABLE_TIMEOUT_MS - 1;
    assertThat(moves.isStalled(SERVICE)).isFalse();
  }

  @Test
  public void slicesStayInUseOnceTheTableIsLost() {
    nowMs += StalledMoves.TABLE_TIMEOUT_MS;
    assertThat(moves.isStalled(SERVICE)).isTrue();
    moves.recordTableResponse(nowMs);
    assertThat(moves.isStalled(SERVICE)).isFalse();
  }

  @Test
  public void slicesWaitWhileAHandOverMayStillTakeEffect() {
    moves.recordPendingHandover(ROW);
    nowMs += StalledMoves.TABLE_TIMEOUT_MS;
    assertThat(moves.isStalled(SERVICE)).isFalse();
    reading = reading(ROW);
    assertThat(moves.isStalled(SERVICE)).as("the same row takes the late write").isFalse();
  }

  @Test
  public void anotherRowShutsOutALateHandOver() {
    moves.recordPendingHandover(ROW);
    reading = reading(LATER);
    nowMs += StalledMoves.TABLE_TIMEOUT_MS;
    assertThat(moves.isStalled(SERVICE)).as("read before the hand-over was sent").isFalse();
    reading = reading(LATER);
    assertThat(moves.isStalled(SERVICE)).isTrue();
  }
}
