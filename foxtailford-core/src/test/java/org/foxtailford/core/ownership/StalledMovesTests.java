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
  private static final HomeRanges CHANGED_ROW = ROW.toBuilder().setWriteId(2).build();

  private long nowMs;
  private HomesSnapshot reading;
  private StalledMoves moves;

  @BeforeMethod
  public void setUp() {
    nowMs = 10_000;
    reading = reading(ROW);
    moves = new StalledMoves(() -> reading, () -> nowMs);
    moves.recordTableResponse(nowMs);
  }

  private HomesSnapshot reading(HomeRanges row) {
    return new HomesSnapshot(HomeDirectory.of(List.of(row)), nowMs);
  }

  @Test
  public void tableWithoutPriorResponseIsNotUnavailable() {
    nowMs += StalledMoves.TABLE_TIMEOUT_MS;
    assertThat(new StalledMoves(() -> reading, () -> nowMs).isStalled(SERVICE)).isFalse();
  }

  @Test
  public void movesAreNotStalledWhileTableResponds() {
    nowMs += StalledMoves.TABLE_TIMEOUT_MS - 1;
    assertThat(moves.isStalled(SERVICE)).isFalse();
    moves.recordTableResponse(nowMs);
    nowMs += StalledMoves.TABLE_TIMEOUT_MS - 1;
    assertThat(moves.isStalled(SERVICE)).isFalse();
  }

  @Test
  public void movesAreStalledOnceTableIsUnavailable() {
    nowMs += StalledMoves.TABLE_TIMEOUT_MS;
    assertThat(moves.isStalled(SERVICE)).isTrue();
    moves.recordTableResponse(nowMs);
    assertThat(moves.isStalled(SERVICE)).isFalse();
  }

  @Test
  public void movesAreNotStalledWhileHandoverMayStillTakeEffect() {
    moves.recordPendingHandover(ROW);
    nowMs += StalledMoves.TABLE_TIMEOUT_MS;
    assertThat(moves.isStalled(SERVICE)).isFalse();
    reading = reading(ROW);
    assertThat(moves.isStalled(SERVICE))
        .as("the late write still applies to the same row")
        .isFalse();
  }

  @Test
  public void movesAreStalledOnceDifferentRowPrecludesLateHandover() {
    moves.recordPendingHandover(ROW);
    reading = reading(CHANGED_ROW);
    nowMs += StalledMoves.TABLE_TIMEOUT_MS;
    assertThat(moves.isStalled(SERVICE))
        .as("the row was read before the handover was sent")
        .isFalse();
    reading = reading(CHANGED_ROW);
    assertThat(moves.isStalled(SERVICE)).isTrue();
  }
}
