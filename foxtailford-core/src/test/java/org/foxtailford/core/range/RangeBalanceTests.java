package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.testng.annotations.Test;

/** Replays load patterns on the real keeper, with upstreams that carry out every order at once. */
public class RangeBalanceTests {

  private static final RangeTiming TIMING = new RangeTiming(3000, 800, 300, 700, 3000, 100);
  private static final int UPSTREAMS = 16;
  private static final int REQUESTS_PER_SECOND = 160;

  private final List<RangeCandidate> candidates = new ArrayList<>();
  private KeyLoadHistory loads = new KeyLoadHistory();
  private Random random = new Random(7);
  private long fence;
  private long version = 10;
  private long nowMs;
  private int moves;
  private RangeController keeper = newKeeper();

  private RangeController newKeeper() {
    return new RangeController(TIMING, () -> ++fence, loads, RangeMap.EMPTY, 0);
  }

  private void reset(int upstreams) {
    candidates.clear();
    loads = new KeyLoadHistory();
    random = new Random(7);
    for (int i = 0; i < upstreams; i++) {
      candidates.add(new RangeCandidate(new RangeOwner("u" + i, 1), 4, false));
    }
    nowMs = 0;
    moves = 0;
    keeper = newKeeper();
  }

  private void tick() {
    nowMs += 50;
    for (RangeCommand order : keeper.nextCommands(candidates, true, nowMs)) {
      if (order instanceof RangeCommand.Grant) {
        keeper.onGrant((RangeCommand.Grant) order, CommandOutcome.DONE, OptionalLong.of(1), nowMs);
      } else if (order instanceof RangeCommand.Release) {
        moves++;
        keeper.onRelease(
            (RangeCommand.Release) order, CommandOutcome.DONE, Optional.of("h"), nowMs);
      } else {
        keeper.onWritten((RangeCommand.Write) order, ++version, nowMs);
      }
    }
  }

  private void settle() {
    for (int i = 0; i < 80; i++) {
      tick();
    }
  }

  /** Plays requests for a time and returns each owner's share of those of the last second. */
  private Map<RangeOwner, Integer> play(int seconds, double hotShare, int firstHot, int hotKeys) {
    Map<RangeOwner, Integer> lastSecond = new HashMap<>();
    for (int second = 0; second < seconds; second++) {
      lastSecond.clear();
      for (int step = 0; step < 20; step++) {
        for (int i = 0; i < REQUESTS_PER_SECOND / 20; i++) {
          int key =
              random.nextDouble() < hotShare
                  ? firstHot + random.nextInt(hotKeys)
                  : random.nextInt(KeyRange.KEYS);
          loads.add(key, 1, nowMs);
          owner(key).ifPresent(owner -> lastSecond.merge(owner, 1, Integer::sum));
        }
        tick();
      }
    }
    return lastSecond;
  }

  private Optional<RangeOwner> owner(int key) {
    return keeper.assignments().stream()
        .filter(a -> a.range().first() <= key && key <= a.range().last())
        .map(RangeAssignment::owner)
        .findFirst();
  }

  private static double busiest(Map<RangeOwner, Integer> shares) {
    return shares.values().stream().mapToInt(n -> n).max().orElseThrow();
  }

  @Test
  public void firstUpstreamsShareTheKeysEvenlyAlthoughTheyComeOneByOne() {
    reset(1);
    for (int i = 1; i <= UPSTREAMS; i++) {
      tick();
      tick();
      if (i < UPSTREAMS) {
        candidates.add(new RangeCandidate(new RangeOwner("u" + i, 1), 4, false));
      }
    }
    settle();
    Map<RangeOwner, Integer> widths = new HashMap<>();
    keeper.assignments().forEach(a -> widths.merge(a.owner(), a.range().width(), Integer::sum));
    assertThat(widths).hasSize(UPSTREAMS);
    assertThat(widths.values()).allSatisfy(width -> assertThat(width).isBetween(2048, 8192));
  }

  @Test
  public void hotKeysThatLieCloseTogetherAreSpreadWithinTwoSeconds() {
    reset(UPSTREAMS);
    settle();
    play(4, 0, 0, 1);
    RangeOwner hot = owner(30100).orElseThrow();
    double after = busiest(play(3, 0.45, 30000, 200));
    long moved =
        keeper.assignments().stream()
            .filter(a -> a.range().first() >= 29900 && a.range().last() < 30300)
            .filter(a -> !a.owner().equals(hot))
            .count();
    assertThat(moved).isGreaterThan(3);
    assertThat(after).isLessThan(0.2 * REQUESTS_PER_SECOND);
  }

  @Test
  public void othersLeaveTheOwnerOfASingleHotKey() {
    reset(UPSTREAMS);
    settle();
    play(4, 0, 0, 1);
    play(6, 0.3, 30000, 1);
    RangeOwner hot = owner(30000).orElseThrow();
    double others =
        keeper.assignments().stream()
                .filter(a -> a.owner().equals(hot))
                .mapToDouble(a -> loads.recent().of(a.range()))
                .sum()
            - loads.recent().of(30000);
    assertThat(others).isLessThan(0.5 * loads.recent().total() / UPSTREAMS);
  }

  @Test
  public void singleHotKeyMovesToAClearlyStrongerUpstream() {
    reset(UPSTREAMS);
    RangeOwner strong = new RangeOwner("strong", 1);
    candidates.add(new RangeCandidate(strong, 6, false));
    settle();
    play(4, 0, 0, 1);
    play(4, 0.4, 30000, 1);
    assertThat(owner(30000)).contains(strong);
  }

  @Test
  public void evenLoadMovesLittle() {
    reset(UPSTREAMS);
    settle();
    play(4, 0, 0, 1);
    moves = 0;
    play(20, 0, 0, 1);
    assertThat(moves).isLessThan(20);
  }

  /** Plays requests whose keys are drawn around busy places, and returns the true peak of load. */
  private double playSkewed(int seconds) {
    double[] places = {0.1, 0.45, 0.47, 0.8};
    double peak = 0;
    int samples = 0;
    int[] keys = new int[200_000];
    Random draw = new Random(3);
    for (int i = 0; i < keys.length; i++) {
      double center = places[draw.nextInt(places.length)];
      double at = draw.nextInt(3) == 0 ? draw.nextDouble() : center + 0.05 * draw.nextGaussian();
      keys[i] = (int) (Math.floorMod((long) (at * KeyRange.KEYS), KeyRange.KEYS));
    }
    for (int second = 0; second < seconds; second++) {
      for (int step = 0; step < 20; step++) {
        for (int i = 0; i < REQUESTS_PER_SECOND / 20; i++) {
          loads.add(keys[random.nextInt(keys.length)], 1, nowMs);
        }
        tick();
      }
      if (second >= seconds / 2) {
        RangeMap map = new RangeMap(1, keeper.assignments());
        Map<RangeOwner, Integer> shares = new HashMap<>();
        for (int key : keys) {
          map.find(key).ifPresent(a -> shares.merge(a.owner(), 1, Integer::sum));
        }
        peak += busiest(shares) * UPSTREAMS / keys.length;
        samples++;
      }
    }
    return peak / samples;
  }

  /**
   * Few requests at each of many upstreams differ by chance; keys that move are slow for a while.
   */
  @Test
  public void differencesByChanceMoveLittleAmongManyUpstreams() {
    reset(120);
    settle();
    moves = 0;
    play(30, 0, 0, 1);
    assertThat(moves).as("moves in half a minute").isLessThan(120 / 10);
  }

  @Test
  public void lastingSkewIsEvenedOut() {
    reset(UPSTREAMS);
    settle();
    moves = 0;
    double peak = playSkewed(24);
    assertThat(peak).isLessThan(1.25);
  }

  @Test
  public void newUpstreamGetsPartOfTheLoad() {
    reset(UPSTREAMS);
    settle();
    play(4, 0, 0, 1);
    RangeOwner joined = new RangeOwner("joined", 1);
    candidates.add(new RangeCandidate(joined, 4, false));
    Map<RangeOwner, Integer> shares = play(4, 0, 0, 1);
    assertThat(shares).containsKey(joined);
  }

  @Test
  public void keysOfALeavingUpstreamAreSharedByOthers() {
    reset(UPSTREAMS);
    settle();
    play(4, 0, 0, 1);
    RangeCandidate leaving = candidates.remove(3);
    play(1, 0, 0, 1);
    assertThat(keeper.assignments()).noneMatch(a -> a.owner().equals(leaving.owner()));
    int owned = keeper.assignments().stream().mapToInt(a -> a.range().width()).sum();
    assertThat(owned).isEqualTo(KeyRange.KEYS);
  }
}
