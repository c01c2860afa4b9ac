package org.foxtailford.testkit.simulation;

import java.util.concurrent.Executor;
import org.foxtailford.core.dissemination.OwnershipFeed;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.HomesReading;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.SliceRange;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.OwnershipCheckpoint;

/** An entry VM that may lead its data centre. */
final class SimulatedCandidate extends SimulatedNode {

  private final OwnershipSystem system;
  private final MillisClock clock;
  private LeaseElection election;
  private DataCentreLeader leader;
  private OwnershipFeed feed = newFeed();

  SimulatedCandidate(String name, OwnershipSystem system, MillisClock clock) {
    super(name);
    this.system = Assert.notNull(system, "system");
    this.clock = Assert.notNull(clock, "clock");
    election = newElection();
    leader = newLeader();
  }

  boolean leads() {
    return running() && leader.leads();
  }

  /** Tells whether this candidate leads and no upstream holds a key of a range. */
  boolean released(SliceRange range) {
    return leader.released(OwnershipSystem.SERVICE, range);
  }

  /** Starts the rounds of this candidate. */
  void begin(long delayMs) {
    int start = starts();
    system.queue().schedule(delayMs, () -> round(start));
  }

  private void round(int start) {
    if (start != starts() || !running()) {
      return;
    }
    execute(
        () -> {
          election.tick();
          leader.tick();
          sendHeartbeats();
        });
    system.queue().schedule(system.variant().timing().renewIntervalMs(), () -> round(start));
  }

  private Executor control() {
    int start = starts();
    return step -> system.queue().schedule(0, () -> runIfCurrent(start, step));
  }

  private void runIfCurrent(int start, Runnable step) {
    if (start == starts()) {
      execute(step);
    }
  }

  private LeaseElection newElection() {
    OwnershipTiming timing = system.variant().timing(name());
    return new LeaseElection(
        "leader-" + OwnershipSystem.DATA_CENTRE,
        name(),
        starts(),
        timing,
        system.table().from(name()),
        clock,
        system::nextWriteId,
        control());
  }

  private DataCentreLeader newLeader() {
    return new DataCentreLeader(
        OwnershipSystem.DATA_CENTRE,
        election,
        system.variant().timing(name()),
        system.variant().grants(new SimulatedGrants(name(), system)),
        system.policy(),
        this::publish,
        system::configuration,
        () -> new HomesReading(system.homes(), clock.nowMs()),
        clock,
        control());
  }

  private void publish(OwnershipCheckpoint checkpoint) {
    accept(checkpoint);
    system.candidates().stream()
        .filter(other -> other != this)
        .forEach(other -> system.network().send(name(), other, () -> other.accept(checkpoint)));
  }

  private void accept(OwnershipCheckpoint checkpoint) {
    feed.accept(checkpoint);
  }

  /** Tells the others which owners this VM knows; whoever knows newer ones answers with them. */
  private void sendHeartbeats() {
    Fence known = feed.current().version();
    system.candidates().stream()
        .filter(other -> other != this)
        .forEach(
            other -> system.network().send(name(), other, () -> other.onHeartbeat(this, known)));
  }

  private void onHeartbeat(SimulatedCandidate sender, Fence known) {
    feed.messageFor(known)
        .ifPresent(
            frame ->
                system.network().send(name(), sender, () -> sender.accept(frame.getOwnership())));
  }

  /** Returns the owners that this entry VM routes by. */
  OwnershipMap owners() {
    return feed.current();
  }

  /** Returns the reading of this entry VM's clock. */
  long nowMs() {
    return clock.nowMs();
  }

  @Override
  void onLost() {
    feed = newFeed();
  }

  private static OwnershipFeed newFeed() {
    return new OwnershipFeed(OwnershipSystem.DATA_CENTRE, 0);
  }

  @Override
  void onStarted() {
    election = newElection();
    leader = newLeader();
    begin(0);
  }
}
