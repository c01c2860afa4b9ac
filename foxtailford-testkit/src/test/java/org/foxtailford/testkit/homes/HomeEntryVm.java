package org.foxtailford.testkit.homes;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomeMover;
import org.foxtailford.core.ownership.HomePlanner;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.ownership.LeaderMonitor;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.schema.HomeRanges;

/** One life of an entry VM: election, leader, home mover and reader of homes. */
final class HomeEntryVm {

  private static final int WATCH_INTERVAL_MS = 200;
  private static final int POLL_EVERY_TICKS = 3;
  private static final int MOVES_AT_ONCE = 6;

  private final HomeProcess process = new HomeProcess();
  private final HomeRules rules;
  private final MillisClock clock;
  private final TableService table;
  private final LeaseElection election;
  private final DataCentreLeader leader;
  private final HomeMover mover;
  private HomesSnapshot homes = HomesSnapshot.none();
  private long homesVersion;
  private int ticks;

  HomeEntryVm(HomeWorld world, String name, String dataCentre, long bootId, MillisClock clock) {
    this.rules = world.rules();
    this.clock = clock;
    this.table = world.table(process, dataCentre);
    UpstreamGrants grants = world.grants(process);
    election =
        new LeaseElection(
            LeaderMonitor.rowKey(dataCentre),
            name,
            bootId,
            rules.electionTiming(),
            rules.electionTable(table),
            clock,
            world::nextId,
            process::execute);
    leader =
        new DataCentreLeader(
            dataCentre,
            election,
            rules.timing(),
            grants,
            new EvenCountPolicy(1),
            checkpoint -> {},
            world::configuration,
            () -> homes,
            clock,
            process::execute);
    election.addAcquiredListener(this::pollHomes);
    mover =
        new HomeMover(
            dataCentre,
            leader,
            new HomePlanner(MOVES_AT_ONCE),
            new LeaderMonitor(
                rules.watchTiming(),
                WATCH_INTERVAL_MS,
                rules.watchTable(table),
                clock,
                world::nextId,
                process::execute),
            world::configuration,
            rules.moverTable(table),
            world::nextId,
            this::pollHomes,
            clock,
            process::execute);
  }

  HomeProcess process() {
    return process;
  }

  boolean leads() {
    return process.running() && leader.isLeading();
  }

  /** Runs one round unless the process is paused or lost. */
  void tick() {
    if (process.paused() || !process.running()) {
      return;
    }
    election.tick();
    leader.tick();
    mover.tick();
    if (ticks++ % POLL_EVERY_TICKS == 0) {
      pollHomes();
    }
  }

  private void pollHomes() {
    long startedMs = clock.nowMs();
    table
        .read(HomeWorld.HOMES_ROW)
        .thenAcceptAsync(row -> acceptHomes(row, startedMs), process::execute);
  }

  private void acceptHomes(Optional<TableRow> row, long startedMs) {
    if (row.isEmpty() || row.get().version() < homesVersion) {
      return;
    }
    homesVersion = row.get().version();
    long asOfMs = Math.max(startedMs, homes.asOfMs());
    homes = new HomesSnapshot(HomeDirectory.of(List.of(rules.homes(parse(row.get())))), asOfMs);
    leader.tick();
  }

  private static HomeRanges parse(TableRow row) {
    try {
      return HomeRanges.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }
}
