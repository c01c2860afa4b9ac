package org.foxtailford.testkit.homes;

import java.util.List;
import java.util.Random;

/** A random schedule of faults, the same for the same seed. */
final class HomeSchedule {

  static final long OWNED_AGAIN_WITHIN_MS = 8000;

  private static final int SETTLE_MS = 4000;
  private static final int FAULTS_MS = 12_000;
  private static final int LONGEST_MS = 9000;
  private static final int SHORTEST_TAKE_OVER_MS = 3000;
  private static final int LATEST_EFFECT_MS = 5000;

  private final Random random;
  private final HomeWorld world;
  private String neverBack = "";

  /**
   * What came of a schedule.
   *
   * @param violations moments at which a slice had two owners
   * @param ownedAgainMs time from the end of the last fault until every slice had an owner
   */
  record Result(List<String> violations, long ownedAgainMs) {}

  HomeSchedule(long seed, HomeRules rules) {
    random = new Random(seed);
    world = new HomeWorld(rules, 2 + random.nextInt(2), random);
  }

  Result run() {
    world.queue().runUntil(SETTLE_MS);
    int faults = 1 + random.nextInt(4);
    for (int i = 0; i < faults; i++) {
      addFault();
    }
    world.queue().runUntil(SETTLE_MS + FAULTS_MS + LONGEST_MS);
    long ownedAgainMs = world.runUntilAllOwned(2 * OWNED_AGAIN_WITHIN_MS);
    world.queue().runUntil(world.queue().nowMs() + LATEST_EFFECT_MS);
    return new Result(List.copyOf(world.violations()), ownedAgainMs);
  }

  private void addFault() {
    String dataCentre = world.dataCentres().get(random.nextInt(world.dataCentres().size()));
    int startMs = random.nextInt(FAULTS_MS);
    int endMs = startMs + 100 + random.nextInt(LONGEST_MS - 100);
    switch (random.nextInt(7)) {
      case 0 -> cut(dataCentre, startMs, endMs);
      case 1 -> lose(dataCentre, startMs, endMs);
      case 2 -> pause(dataCentre, startMs, endMs);
      case 3 -> loseAnswers(dataCentre, startMs, endMs);
      case 4 -> slowDown(world.way(dataCentre), startMs, endMs);
      case 5 -> slowDown(world.localWay(dataCentre), startMs, endMs);
      default -> cutWhileOthersAreSlow(dataCentre, startMs);
    }
  }

  private void at(int ms, Runnable step) {
    world.queue().schedule(ms, step);
  }

  private void cut(String dataCentre, int startMs, int endMs) {
    at(startMs, () -> world.way(dataCentre).setCut(true));
    at(endMs, () -> world.way(dataCentre).setCut(false));
  }

  private void loseAnswers(String dataCentre, int startMs, int endMs) {
    int percent = 20 + random.nextInt(70);
    at(startMs, () -> world.way(dataCentre).setLostAnswersPercent(percent));
    at(endMs, () -> world.way(dataCentre).setLostAnswersPercent(0));
  }

  private void slowDown(HomeNetwork.Way way, int startMs, int endMs) {
    int slowMs = 200 + random.nextInt(LATEST_EFFECT_MS - 200);
    at(startMs, () -> way.setSlowMs(slowMs));
    at(endMs, () -> way.setSlowMs(0));
  }

  /** Makes a data centre come back while others' decisions to take its homes are under way. */
  private void cutWhileOthersAreSlow(String dataCentre, int startMs) {
    int endMs = startMs + SHORTEST_TAKE_OVER_MS + random.nextInt(SHORTEST_TAKE_OVER_MS);
    cut(dataCentre, startMs, endMs);
    world.dataCentres().stream()
        .filter(other -> !other.equals(dataCentre))
        .forEach(other -> slowDown(world.way(other), startMs + 1000, endMs));
  }

  private void pause(String dataCentre, int startMs, int endMs) {
    boolean all = random.nextBoolean();
    at(
        startMs,
        () -> {
          List<HomeProcess> processes = world.entryProcesses(dataCentre);
          List<HomeProcess> paused = all ? processes : processes.subList(0, 1);
          paused.forEach(HomeProcess::pause);
          world.queue().schedule(endMs - startMs, () -> paused.forEach(HomeProcess::resume));
        });
  }

  private void lose(String dataCentre, int startMs, int endMs) {
    boolean ordered = random.nextBoolean();
    boolean back = random.nextBoolean() || !neverBack.isEmpty();
    if (!back) {
      neverBack = dataCentre;
    }
    at(startMs, () -> world.lose(dataCentre));
    if (ordered) {
      at(startMs + 1, () -> world.order(dataCentre, true));
    }
    at(
        endMs,
        () -> {
          if (!dataCentre.equals(neverBack)) {
            world.lose(dataCentre);
            world.start(dataCentre);
            world.order(dataCentre, false);
          }
        });
  }
}
