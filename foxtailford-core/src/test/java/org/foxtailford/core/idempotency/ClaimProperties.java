package org.foxtailford.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.foxtailford.core.idempotency.ClaimWorld.Mutant;

/**
 * Checks under random faults that claims prevent double runs, and that the check finds a double run
 * as soon as one step of the protocol is left out.
 */
class ClaimProperties {

  private static final long MUTANT_SCHEDULES = 200;

  @Property(seed = "1", tries = 400)
  void noRequestRunsTwiceAndEveryRefusalIsCorrect(@ForAll @LongRange(min = 0) long seed) {
    assertThat(new ClaimSchedule(seed, Mutant.NONE, true).run().violations()).isEmpty();
  }

  @Property(seed = "1", tries = 50)
  void withoutFaultsEveryRequestIsGranted(@ForAll @LongRange(min = 0) long seed) {
    ClaimSchedule schedule = new ClaimSchedule(seed, Mutant.NONE, false).run();
    assertThat(schedule.violations()).isEmpty();
    assertThat(schedule.granted()).isGreaterThanOrEqualTo(150);
  }

  @Property(seed = "1", tries = 3)
  void doubleRunIsDetectedIfEveryClaimIsGranted(@ForAll @LongRange(min = 0, max = 9) long start) {
    assertThat(hasViolation(start, Mutant.GRANT_EVERY_CLAIM)).isTrue();
  }

  @Property(seed = "1", tries = 3)
  void doubleRunIsDetectedIfRecordsAreNotHandedOver(
      @ForAll @LongRange(min = 0, max = 9) long start) {
    assertThat(hasViolation(start, Mutant.HAND_OVER_NOTHING)).isTrue();
  }

  @Property(seed = "1", tries = 3)
  void doubleRunIsDetectedIfIncompleteHoldersGrantClaims(
      @ForAll @LongRange(min = 0, max = 9) long start) {
    assertThat(hasViolation(start, Mutant.TRUST_INCOMPLETE_HOLDERS)).isTrue();
  }

  private static boolean hasViolation(long start, Mutant mutant) {
    return LongStream.range(start, start + MUTANT_SCHEDULES)
        .anyMatch(seed -> !new ClaimSchedule(seed, mutant, true).run().violations().isEmpty());
  }
}
