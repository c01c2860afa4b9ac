package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RangeController} around a store that is restored from an older copy. */
public class RestoredStoreTests {

  private static final RangeTiming TIMING = new RangeTiming(3000, 800, 300, 700, 3000, 100);
  private static final RangeOwner OWNER = new RangeOwner("u", 1);
  private static final RangeCandidate CANDIDATE = new RangeCandidate(OWNER, 4, false);
  private static final KeyRange ALL = new KeyRange(0, KeyRange.KEYS - 1);

  private long fence = 100;
  private long nowMs;
  private RangeController controller;
  private CommandOutcome grantOutcome;
  private final List<RangeCommand> commands = new ArrayList<>();

  @BeforeMethod
  public void begin() {
    nowMs = 0;
    grantOutcome = CommandOutcome.DONE;
    commands.clear();
  }

  private void lead(RangeMap map, long currentEra) {
    controller =
        new RangeController(
            TIMING,
            () -> ++fence,
            new KeyLoadHistory(),
            map,
            map.isComplete(currentEra, false),
            5000,
            expired -> {});
  }

  private static RangeMap mapOfEra(long era) {
    return new RangeMap(7, era, List.of(new RangeAssignment(ALL, OWNER, 50)));
  }

  private void run(long untilMs) {
    for (; nowMs < untilMs; nowMs += 50) {
      for (RangeCommand command : controller.nextCommands(List.of(CANDIDATE), true, nowMs)) {
        commands.add(command);
        if (command instanceof RangeCommand.Grant) {
          controller.onGrant((RangeCommand.Grant) command, grantOutcome, OptionalLong.of(1), nowMs);
        } else if (command instanceof RangeCommand.Release) {
          controller.onRelease(
              (RangeCommand.Release) command, CommandOutcome.DONE, Optional.empty(), nowMs);
        } else {
          controller.onWritten((RangeCommand.Write) command, 8 + commands.size(), nowMs);
        }
      }
    }
  }

  private Optional<RangeCommand.Write> lastWrite() {
    return commands.stream()
        .filter(command -> command instanceof RangeCommand.Write)
        .map(command -> (RangeCommand.Write) command)
        .reduce((earlier, later) -> later);
  }

  @Test
  public void newLeaderGrantsNothingByAMapThatMayBeOutdatedBeforeEarlierGrantsExpired() {
    lead(mapOfEra(1), 2);
    run(5000);
    assertThat(commands).isEmpty();
    run(6000);
    assertThat(commands).anyMatch(command -> command instanceof RangeCommand.Grant);
  }

  @Test
  public void newLeaderUsesAMapOfTheCurrentEraAtOnce() {
    lead(mapOfEra(2), 2);
    run(200);
    assertThat(commands).anyMatch(command -> command instanceof RangeCommand.Grant);
  }

  @Test
  public void leaderInOfficeGoesOnAndWritesACompleteMapOnceTheOwnersAreProven() {
    lead(mapOfEra(1), 1);
    run(1000);
    commands.clear();
    controller.onStoreRestored(3, nowMs);
    run(1050);
    assertThat(lastWrite()).get().matches(write -> !write.complete());
    assertThat(lastWrite()).get().matches(write -> write.expectedVersion() == 3);
    run(3000);
    assertThat(lastWrite()).get().matches(RangeCommand.Write::complete);
    assertThat(commands)
        .filteredOn(command -> command instanceof RangeCommand.Grant)
        .as("renewals go on")
        .hasSizeGreaterThan(1)
        .allMatch(command -> ((RangeCommand.Grant) command).session().isPresent());
    assertThat(controller.isSuperseded()).isFalse();
  }

  @Test
  public void ownerThatHasSeenAHigherFenceShowsAnotherLeader() {
    lead(mapOfEra(1), 1);
    run(1000);
    controller.onStoreRestored(3, nowMs);
    grantOutcome = CommandOutcome.FENCED;
    run(2000);
    assertThat(controller.isSuperseded()).isTrue();
  }

  @Test
  public void rangeWithoutAProvenOwnerIsHeldBackUntilAllGrantsHaveExpired() {
    lead(mapOfEra(1), 1);
    grantOutcome = CommandOutcome.UNKNOWN;
    run(1000);
    commands.clear();
    controller.onStoreRestored(3, nowMs);
    grantOutcome = CommandOutcome.DONE;
    long heldBackUntilMs =
        TIMING.latestExpiryMs(nowMs + TIMING.callTimeoutMs())
            + LeadershipTiming.GRANT_RENEWAL_WINDOW_MS;
    run(heldBackUntilMs);
    assertThat(commands).noneMatch(command -> command instanceof RangeCommand.Grant);
    run(heldBackUntilMs + 500);
    assertThat(commands).anyMatch(command -> command instanceof RangeCommand.Grant);
    assertThat(lastWrite()).get().matches(RangeCommand.Write::complete);
  }
}
