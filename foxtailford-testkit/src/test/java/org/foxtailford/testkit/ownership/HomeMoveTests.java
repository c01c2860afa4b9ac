package org.foxtailford.testkit.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.foxtailford.core.slice.SliceRange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class HomeMoveTests {

  private static final int SETTLING_ROUNDS = 15;
  private static final int ROUNDS_IN_3_SECONDS = 15;

  private TwoDataCentres world;

  @BeforeMethod
  public void createWorld() {
    world = new TwoDataCentres();
  }

  @Test
  public void eachDataCentreOwnsItsHalfAtFirst() {
    run(SETTLING_ROUNDS);
    assertThat(TwoDataCentres.SLICES.subList(0, 8))
        .allSatisfy(slice -> assertThat(world.owners(slice)).containsExactly("u-dc-a"));
    assertThat(TwoDataCentres.SLICES.subList(8, 16))
        .allSatisfy(slice -> assertThat(world.owners(slice)).containsExactly("u-dc-b"));
  }

  @Test
  public void dataCentreThatIsOutOwnsNothingAfterThreeSeconds() {
    run(SETTLING_ROUNDS);
    world.setSecondOut(true);
    run(ROUNDS_IN_3_SECONDS);
    assertThat(TwoDataCentres.SLICES)
        .allSatisfy(slice -> assertThat(world.owners(slice)).containsExactly("u-dc-a"));
  }

  @Test
  public void dataCentreThatComesBackTakesItsSlicesBack() {
    run(SETTLING_ROUNDS);
    world.setSecondOut(true);
    run(ROUNDS_IN_3_SECONDS);
    world.setSecondOut(false);
    run(ROUNDS_IN_3_SECONDS);
    assertThat(TwoDataCentres.SLICES.subList(8, 16))
        .allSatisfy(slice -> assertThat(world.owners(slice)).containsExactly("u-dc-b"));
  }

  @Test
  public void leaderWaitsForHomesThatWereReadInItsTerm() {
    world.setHomesAreOld(true);
    run(SETTLING_ROUNDS);
    assertThat(TwoDataCentres.SLICES).allSatisfy(s -> assertThat(world.owners(s)).isEmpty());
    world.setHomesAreOld(false);
    run(2);
    assertThat(TwoDataCentres.SLICES).allSatisfy(s -> assertThat(world.owners(s)).hasSize(1));
  }

  private void run(int rounds) {
    IntStream.range(0, rounds)
        .forEach(
            round -> {
              world.runRound();
              TwoDataCentres.SLICES.forEach(this::requireAtMostOneOwner);
            });
  }

  private void requireAtMostOneOwner(SliceRange slice) {
    List<String> owners = world.owners(slice);
    assertThat(owners).as(slice.toString()).hasSizeLessThanOrEqualTo(1);
  }
}
