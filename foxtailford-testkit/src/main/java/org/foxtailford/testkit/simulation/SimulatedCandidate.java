package org.foxtailford.testkit.simulation;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.foxtailford.core.dissemination.OwnershipFeed;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.ownership.HomeMover;
import org.foxtailford.core.ownership.HomePlanner;
import org.foxtailford.core.ownership.LeaderMonitor;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.PoisonReport;
import org.jspecify.annotations.Nullable;

/** An entry VM that may lead its data centre. */
final class SimulatedCandidate extends SimulatedNode {

  private static final int WATCH_INTERVAL_MS = 1000;
  private static final int HOME_MOVES_AT_ONCE = 32;

  private final String dataCentre;
  private final OwnershipSystem system;
  private final MillisClock clock;
  private LeaseElection election;
  private DataCentreLeader leader;
  private HomeMover mover;
  private PlatformKnowledge knowledge;
  private OwnershipFeed feed;
  private Supplier<@Nullable SimulatedRequestPath> newPath = () -> null;
  private @Nullable SimulatedRequestPath path;
  private @Nullable SimulatedClaims claims;

  SimulatedCandidate(String name, String dataCentre, OwnershipSystem system, MillisClock clock) {
    super(name);
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.system = Assert.notNull(system, "system");
    this.clock = Assert.notNull(clock, "clock");
    feed = newFeed();
    knowledge = newKnowledge();
    election = newElection();
    leader = newLeader();
    mover = newMover();
  }

  String dataCentre() {
    return dataCentre;
  }

  boolean leads() {
    return running() && leader.isLeading();
  }

  /** Returns the lease under which this candidate leads, if it is valid. */
  Optional<HeldLease> leadership() {
    return leads() ? election.lease() : Optional.empty();
  }

  /** Tells whether this candidate leads and no upstream holds a key of a range. */
  boolean released(SliceRange range) {
    return leader.isReleased(OwnershipSystem.SERVICE, range);
  }

  /** Starts the rounds of this candidate. */
  void begin(long delayMs) {
    int start = starts();
    knowledge.begin();
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
          moveHomes();
          sendHeartbeats();
          if (path != null) {
            path.gates().tick();
          }
        });
    system.queue().schedule(system.variant().timing().renewIntervalMs(), () -> round(start));
  }

  /** Returns the executor of this start of the process. */
  Executor control() {
    int start = starts();
    return step -> system.queue().schedule(0, () -> runIfCurrent(start, step));
  }

  private void runIfCurrent(int start, Runnable step) {
    if (start == starts()) {
      execute(step);
    }
  }

  private void moveHomes() {
    if (system.layout().readsPlatform()) {
      mover.tick();
    }
  }

  private PlatformKnowledge newKnowledge() {
    return system.layout().readsPlatform()
        ? new PolledKnowledge(this, system)
        : new SharedKnowledge(system, clock);
  }

  private HomeMover newMover() {
    return new HomeMover(
        dataCentre,
        leader,
        new HomePlanner(HOME_MOVES_AT_ONCE),
        new LeaderMonitor(
            system.variant().timing(name()),
            WATCH_INTERVAL_MS,
            system.table().from(name()),
            clock,
            system::nextWriteId,
            control()),
        knowledge::configuration,
        system.table().from(name()),
        system::nextWriteId,
        knowledge::readHomes,
        clock,
        control());
  }

  private LeaseElection newElection() {
    OwnershipTiming timing = system.variant().timing(name());
    return new LeaseElection(
        LeaderMonitor.rowKey(dataCentre),
        name(),
        starts(),
        timing,
        system.table().from(name()),
        clock,
        system::nextWriteId,
        control());
  }

  private DataCentreLeader newLeader() {
    DataCentreLeader created =
        new DataCentreLeader(
            dataCentre,
            election,
            system.variant().timing(name()),
            system.variant().grants(new SimulatedGrants(name(), system)),
            system.policy(),
            this::publish,
            knowledge::configuration,
            knowledge::homes,
            clock,
            control());
    if (system.layout().readsPlatform()) {
      Executor control = control();
      election.addAcquiredListener(
          () -> knowledge.readHomes().thenRunAsync(created::tick, control));
    }
    return created;
  }

  private void publish(OwnershipCheckpoint checkpoint) {
    accept(checkpoint);
    localOthers()
        .forEach(other -> system.network().send(name(), other, () -> other.accept(checkpoint)));
  }

  private void accept(OwnershipCheckpoint checkpoint) {
    feed.accept(checkpoint);
  }

  /** Tells the others which owners this VM knows; whoever knows newer ones answers with them. */
  private void sendHeartbeats() {
    Fence known = feed.current().version();
    localOthers()
        .forEach(
            other -> system.network().send(name(), other, () -> other.onHeartbeat(this, known)));
    knowledge.exchange();
  }

  private Stream<SimulatedCandidate> localOthers() {
    return system.candidates(dataCentre).stream().filter(other -> other != this);
  }

  private void onHeartbeat(SimulatedCandidate sender, Fence known) {
    feed.messageFor(known)
        .ifPresent(
            frame ->
                system.network().send(name(), sender, () -> sender.accept(frame.getOwnership())));
  }

  /** Lets callers send requests to this entry VM. */
  void serve(RequestLedger ledger, RandomGenerator random) {
    newPath = () -> new SimulatedRequestPath(this, system, ledger, random);
    openPath();
  }

  private void openPath() {
    path = newPath.get();
    claims = path == null ? null : new SimulatedClaims(this, system);
  }

  /** Returns the way of requests through this start of the entry VM. */
  SimulatedRequestPath path() {
    return Assert.notNull(path, "path");
  }

  /** Returns the records of request ids of this start of the entry VM. */
  SimulatedClaims claims() {
    return Assert.notNull(claims, "claims");
  }

  /** Takes another entry VM's report on a request that crashes upstreams. */
  void receivePoison(PoisonReport report) {
    path().guard().receive(report);
  }

  /** Returns what this entry VM knows from the platform. */
  PlatformKnowledge knowledge() {
    return knowledge;
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

  private OwnershipFeed newFeed() {
    return new OwnershipFeed(dataCentre, 0);
  }

  @Override
  void onStarted() {
    knowledge = newKnowledge();
    election = newElection();
    leader = newLeader();
    mover = newMover();
    openPath();
    begin(0);
  }
}
