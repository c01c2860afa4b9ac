package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.poison.PoisonVerdict;
import org.testng.annotations.Test;

/** All VMs learn in time of the requests under which upstreams ended, whoever saw it. */
public class LossExchangeTests {

  private static final long FATAL = 7;
  private static final int VMS = 9;

  /**
   * Documented time after the third end in which all VMs in touch have to know, in milliseconds.
   */
  private static final long CONTACT_MS = 3000;

  /** Time in which the registration of an upstream that has ended is removed, in milliseconds. */
  private static final long LAPSE_MS = 2700;

  /** Documented time after which a loss of an upstream that is still registered is taken back. */
  private static final long JUDGEMENT_MS = 10_000;

  /** Time of a report to the leader, of its push, and of a control step, in milliseconds. */
  private static final long TELL_MS = 100;

  @Test
  public void lossesThatTwoMembersSawStopTheRequestAtAll() {
    ControlWorld world = new ControlWorld(VMS, 1);
    member(world, 0).lose("u1/1", FATAL);
    member(world, 1).lose("u2/1", FATAL);
    world.runFor(TELL_MS);
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.POISON);
  }

  @Test
  public void lossThatSeveralVmsSawCountsOnce() {
    ControlWorld world = new ControlWorld(VMS, 2);
    member(world, 0).lose("u1/1", FATAL);
    member(world, 1).lose("u1/1", FATAL);
    world.leader().lose("u1/1", FATAL);
    world.runFor(CONTACT_MS);
    member(world, 2).lose("u1/1", FATAL);
    world.runFor(CONTACT_MS);
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.SUSPECT);
  }

  @Test
  public void nextLeaderKnowsTheLossesAndTellsThem() {
    ControlWorld world = new ControlWorld(VMS, 3);
    ControlWorld.Vm away = member(world, 0);
    away.setCutOff(true);
    member(world, 1).lose("u1/1", FATAL);
    world.runFor(TELL_MS);
    world.leader().end();
    world.runFor(2 * CONTACT_MS);
    away.setCutOff(false);
    world.runFor(CONTACT_MS);
    assertThat(away.verdict(FATAL)).isEqualTo(PoisonVerdict.SUSPECT);
  }

  // BUDGET: losses were told through the leader alone, though the store was within reach.
  @Test
  public void vmThatReachesOnlyTheStoreLearnsTheLosses() {
    ControlWorld world = new ControlWorld(VMS, 4);
    ControlWorld.Vm away = member(world, 0);
    away.setCutOff(true);
    member(world, 1).lose("u1/1", FATAL);
    member(world, 2).lose("u2/1", FATAL);
    world.runFor(CONTACT_MS);
    assertThat(away.verdict(FATAL)).isEqualTo(PoisonVerdict.POISON);
  }

  // BUDGET: what a VM saw that no other one reached was known to it alone.
  @Test
  public void lossesOfVmThatReachesOnlyTheStoreAreKnownToAll() {
    ControlWorld world = new ControlWorld(VMS, 5);
    ControlWorld.Vm away = member(world, 0);
    away.setCutOff(true);
    away.lose("u1/1", FATAL);
    away.lose("u2/1", FATAL);
    world.runFor(CONTACT_MS);
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.POISON);
  }

  // BUDGET: VMs that had all started anew sent the request again.
  @Test
  public void lossesOutlastTheEndOfAllVms() {
    ControlWorld world = new ControlWorld(VMS, 6);
    member(world, 0).lose("u1/1", FATAL);
    member(world, 1).lose("u2/1", FATAL);
    world.runFor(CONTACT_MS);
    world.restartAll();
    world.runFor(2 * CONTACT_MS);
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.POISON);
  }

  @Test
  public void lossesThatHaveExpiredLeaveTheStore() {
    ControlWorld world = new ControlWorld(3, 10);
    member(world, 0).lose("u1/1", FATAL);
    world.runFor(CONTACT_MS);
    assertThat(world.store().count(SystemTables.LOSSES)).isEqualTo(1);
    world.runFor(PoisonLimits.BY_INCARNATION.ttlMs() + 2 * ControlTiming.LOSS_CLEANUP_MS);
    assertThat(world.store().count(SystemTables.LOSSES)).isZero();
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.CLEAR);
  }

  // A VM cut off from all upstreams took them for ended, and its requests were refused everywhere.
  @Test
  public void lossOfUpstreamThatStaysRegisteredIsTakenBack() {
    ControlWorld world = new ControlWorld(VMS, 7);
    world.register("u1", 1);
    world.register("u2", 1);
    world.runFor(CONTACT_MS);
    member(world, 0).lose("u1/1", FATAL);
    member(world, 0).lose("u2/1", FATAL);
    world.runFor(CONTACT_MS);
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.POISON);
    world.runFor(JUDGEMENT_MS);
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.CLEAR);
  }

  @Test
  public void lossOfUpstreamThatIsGoneOrStartedAgainStays() {
    ControlWorld world = new ControlWorld(VMS, 8);
    world.register("u1", 1);
    world.register("u2", 1);
    world.runFor(CONTACT_MS);
    member(world, 0).lose("u1/1", FATAL);
    member(world, 1).lose("u2/1", FATAL);
    world.runFor(LAPSE_MS);
    world.unregister("u1");
    world.register("u2", 2);
    world.runFor(4 * JUDGEMENT_MS);
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.POISON);
  }

  @Test
  public void lossAfterOneThatWasTakenBackCounts() {
    ControlWorld world = new ControlWorld(VMS, 9);
    world.register("u1", 1);
    world.runFor(CONTACT_MS);
    member(world, 0).lose("u1/1", FATAL);
    world.runFor(CONTACT_MS + JUDGEMENT_MS);
    member(world, 1).lose("u1/1", FATAL);
    world.unregister("u1");
    world.runFor(CONTACT_MS);
    assertThat(world.vms()).allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.SUSPECT);
  }

  @Test
  public void lossesReachAllVmsInTouchInDrawnSeriesOfFaults() {
    for (long seed = 0; seed < 60; seed++) {
      ControlWorld world = new ControlWorld(VMS, seed);
      Random random = new Random(seed);
      for (int i = 0; i < 3; i++) {
        ControlWorld.Vm victim =
            random.nextBoolean() && world.hasLeader()
                ? world.leader()
                : world.vms().get(random.nextInt(VMS));
        victim.pause(200 + random.nextInt(3000));
        world.vms().get(random.nextInt(VMS)).lose("u" + i + "/1", FATAL);
        world.runFor(random.nextInt(4000));
      }
      world.runFor(2 * CONTACT_MS);
      assertThat(world.vms())
          .as("seed %d", seed)
          .allMatch(vm -> vm.verdict(FATAL) == PoisonVerdict.POISON);
    }
  }

  private static ControlWorld.Vm member(ControlWorld world, int number) {
    return world.vms().stream()
        .filter(vm -> !vm.isLeading())
        .skip(number)
        .findFirst()
        .orElseThrow();
  }
}
