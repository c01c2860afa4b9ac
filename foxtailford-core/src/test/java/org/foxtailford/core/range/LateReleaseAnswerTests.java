package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** An answer that comes when its keys have another owner says nothing of that owner. */
public class LateReleaseAnswerTests {

  private static final RangeTiming TIMING = new RangeTiming(3000, 800, 300, 700, 3000, 100);
  private static final KeyRange ALL = new KeyRange(0, KeyRange.KEYS - 1);
  private static final RangeOwner FIRST = new RangeOwner("first", 1);
  private static final RangeOwner SECOND = new RangeOwner("second", 1);
  private static final RangeOwner THIRD = new RangeOwner("third", 1);

  private final List<RangeCommand.Release> releases = new ArrayList<>();
  private RangeController controller;
  private RangeOwner candidate;
  private long fence;
  private long version;
  private long nowMs;

  @BeforeMethod
  public void begin() {
    releases.clear();
    fence = 100;
    version = 7;
    nowMs = 0;
    RangeMap map = new RangeMap(version, 0, List.of(new RangeAssignment(ALL, FIRST, 50)));
    controller =
        new RangeController(
            TIMING, () -> ++fence, new KeyLoadHistory(), map, true, 0, expired -> {});
  }

  /** Runs steps in which grants and writes succeed at once, and releases stay unanswered. */
  private void runUntil(long untilMs) {
    for (; nowMs < untilMs; nowMs += 50) {
      List<RangeCandidate> candidates = List.of(new RangeCandidate(candidate, 4, false));
      for (RangeCommand command : controller.nextCommands(candidates, true, nowMs)) {
        if (command instanceof RangeCommand.Release) {
          releases.add((RangeCommand.Release) command);
        } else if (command instanceof RangeCommand.Write) {
          controller.onWritten((RangeCommand.Write) command, ++version, nowMs);
        } else {
          RangeCommand.Grant grant = (RangeCommand.Grant) command;
          controller.onGrant(grant, CommandOutcome.DONE, OptionalLong.of(1), nowMs);
        }
      }
    }
  }

  private void runUntilOwnedBy(RangeOwner owner) {
    long limitMs = nowMs + 10_000;
    while (nowMs < limitMs && !isOwnedBy(owner)) {
      runUntil(nowMs + 50);
    }
    assertThat(isOwnedBy(owner)).as("keys owned by %s", owner).isTrue();
  }

  private boolean isOwnedBy(RangeOwner owner) {
    return controller.assignments().stream().anyMatch(a -> a.owner().equals(owner));
  }

  @Test
  public void releaseByAnEarlierOwnerDoesNotFreeTheKeysOfTheNextOne() {
    candidate = FIRST;
    runUntil(1000);
    candidate = SECOND; // the first owner's registration has lapsed
    runUntilOwnedBy(SECOND);
    runUntil(nowMs + 100);
    RangeCommand.Release earlier = releases.get(0);
    candidate = THIRD;
    runUntil(nowMs + 100);
    assertThat(releases.get(releases.size() - 1).assignment().owner()).isEqualTo(SECOND);
    controller.onRelease(earlier, CommandOutcome.DONE, Optional.empty(), nowMs);
    runUntil(nowMs + 500);
    assertThat(isOwnedBy(THIRD)).as("granted while the second owner holds the keys").isFalse();
  }
}
