package org.foxtailford.testkit.homes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.foxtailford.core.slice.SliceRange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class HomeTakeOverTests {

  private static final int SETTLE_MS = 4000;
  private static final int LAPSED_TENURE_MS =
      HomeRules.LEASE_TTL_MS + HomeRules.HOLD_MS + HomeRules.GRANT_TTL_MS;
  private static final String LOST = "dc-b";

  private HomeWorld world;

  @BeforeMethod
  public void settle() {
    world = new HomeWorld(new HomeRules() {}, 3, new Random(1));
    run(SETTLE_MS);
    assertThat(world.allOwned()).isTrue();
  }

  private void run(int ms) {
    world.queue().runUntil(world.queue().nowMs() + ms);
    assertThat(world.violations()).isEmpty();
  }

  private long ownedBy(String dataCentre) {
    return HomeWorld.SLICES.stream().filter(slice -> isOwnedBy(slice, dataCentre)).count();
  }

  private boolean isOwnedBy(SliceRange slice, String dataCentre) {
    return world.owners(slice).stream().anyMatch(owner -> owner.endsWith(dataCentre));
  }

  @Test
  public void aLostDataCentreIsTakenOverAfterItsHold() {
    world.lose(LOST);
    run(LAPSED_TENURE_MS);
    assertThat(world.allOwned()).isFalse();
    assertThat(world.runUntilAllOwned(HomeSchedule.OWNED_AGAIN_WITHIN_MS)).isLessThan(3000);
  }

  @Test
  public void anOrderSparesTheHold() {
    world.lose(LOST);
    world.order(LOST, true);
    assertThat(world.runUntilAllOwned(HomeSchedule.OWNED_AGAIN_WITHIN_MS))
        .isLessThan(LAPSED_TENURE_MS);
  }

  @Test
  public void aCutOffDataCentreServesUntilItsHoldEnds() {
    world.way(LOST).setCut(true);
    run(HomeRules.HOLD_MS / 2);
    assertThat(ownedBy(LOST)).isEqualTo(4);
    run(2 * LAPSED_TENURE_MS);
    assertThat(ownedBy(LOST)).isZero();
    assertThat(world.allOwned()).isTrue();
  }

  @Test
  public void aShortCutMovesNothing() {
    world.way(LOST).setCut(true);
    run(HomeRules.HOLD_MS);
    world.way(LOST).setCut(false);
    run(SETTLE_MS);
    assertThat(ownedBy(LOST)).isEqualTo(4);
  }

  @Test
  public void aDataCentreThatComesBackGetsItsHomesBack() {
    world.way(LOST).setCut(true);
    run(3 * LAPSED_TENURE_MS);
    assertThat(ownedBy(LOST)).isZero();
    world.way(LOST).setCut(false);
    run(2 * SETTLE_MS);
    assertThat(ownedBy(LOST)).isEqualTo(4);
    assertThat(world.allOwned()).isTrue();
  }

  @Test
  public void aLostDataCentreThatIsBackGetsItsHomesBack() {
    world.lose(LOST);
    world.order(LOST, true);
    run(2 * SETTLE_MS);
    world.start(LOST);
    world.order(LOST, false);
    run(2 * SETTLE_MS);
    assertThat(ownedBy(LOST)).isEqualTo(4);
  }
}
