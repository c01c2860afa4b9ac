package org.foxtailford.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.platform.ConditionalWrites;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRange;
import org.foxtailford.schema.HomeRanges;

/**
 * Moves the homes of slices when data centres go out and come back.
 *
 * <p>Runs on each data centre's leader. Any leader may begin a move; only the leader of the present
 * home completes it, after its upstreams released the slice. The homes of a data centre whose
 * authority is over are taken by any other leader. Conditional writes decide between leaders.
 *
 * <p>Not thread-safe: all calls and callbacks run on one executor.
 */
public final class HomeMover {

  private final String dataCentre;
  private final DataCentreLeader leader;
  private final HomePlanner planner;
  private final LeaderWatch watch;
  private final Supplier<ConfigurationView> configuration;
  private final TableService table;
  private final ConditionalWrites writes;
  private final LongSupplier writeIds;
  private final Runnable changed;
  private final MillisClock clock;
  private final Executor control;
  private boolean inFlight;

  /**
   * Creates a mover.
   *
   * @param dataCentre data centre of the leader
   * @param leader the leader on this VM
   * @param planner decides on the moves
   * @param watch tells which other data centres are led
   * @param configuration gives the configuration in force
   * @param table the table service
   * @param writeIds gives a number never given before
   * @param changed runs after a row was changed, so that it is read again at once
   * @param clock clock of this VM
   * @param control executor of all callbacks
   */
  public HomeMover(
      String dataCentre,
      DataCentreLeader leader,
      HomePlanner planner,
      LeaderWatch watch,
      Supplier<ConfigurationView> configuration,
      TableService table,
      LongSupplier writeIds,
      Runnable changed,
      MillisClock clock,
      Executor control) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.leader = Assert.notNull(leader, "leader");
    this.planner = Assert.notNull(planner, "planner");
    this.watch = Assert.notNull(watch, "watch");
    this.configuration = Assert.notNull(configuration, "configuration");
    this.table = Assert.notNull(table, "table");
    this.writes = new ConditionalWrites(table);
    this.writeIds = Assert.notNull(writeIds, "writeIds");
    this.changed = Assert.notNull(changed, "changed");
    this.clock = Assert.notNull(clock, "clock");
    this.control = Assert.notNull(control, "control");
  }

  /** Runs one round over all keyed services; the time between rounds bounds the rate of moves. */
  public void tick() {
    if (inFlight || !leader.isLeading()) {
      return;
    }
    inFlight = true;
    List<ServiceView> services =
        configuration.get().services().values().stream()
            .filter(service -> service.definition().getKeyed())
            .toList();
    round(services).whenCompleteAsync((done, failure) -> inFlight = false, control);
  }

  /** What one round was decided on. */
  private record Round(List<ServiceView> services, List<TableRow> rows, Set<String> others) {}

  /** Reads the homes before the lease rows, so that a take-over is decided on homes older still. */
  private CompletableFuture<Void> round(List<ServiceView> services) {
    long sentMs = clock.nowMs();
    List<CompletableFuture<Optional<TableRow>>> reads =
        services.stream().map(service -> table.read("homes-" + name(service))).toList();
    return all(reads)
        .thenComposeAsync(
            done -> {
              leader.recordTableResponse(sentMs);
              return decide(services, reads);
            },
            control);
  }

  private CompletableFuture<Void> decide(
      List<ServiceView> services, List<CompletableFuture<Optional<TableRow>>> reads) {
    List<ServiceView> known = new ArrayList<>();
    List<TableRow> rows = new ArrayList<>();
    for (int i = 0; i < services.size(); i++) {
      Optional<TableRow> row = reads.get(i).join();
      if (row.isPresent()) {
        known.add(services.get(i));
        rows.add(row.get());
      }
    }
    Round round = new Round(known, rows, others(known, rows));
    return watch
        .observe(round.others())
        .thenComposeAsync(observed -> moveAll(round, observed), control);
  }

  private CompletableFuture<Void> moveAll(Round round, boolean observed) {
    List<CompletableFuture<Void>> steps = new ArrayList<>();
    Set<String> over = new TreeSet<>();
    if (observed) {
      round.others().stream().filter(watch::isOver).forEach(over::add);
      round.others().stream()
          .filter(other -> configuration.get().isLost(other))
          .map(watch::exclude)
          .forEach(steps::add);
    }
    for (int i = 0; i < round.rows().size(); i++) {
      steps.add(move(round.services().get(i), round.rows().get(i), over));
    }
    return all(steps);
  }

  private static CompletableFuture<Void> all(List<? extends CompletableFuture<?>> steps) {
    return CompletableFuture.allOf(steps.toArray(CompletableFuture<?>[]::new));
  }

  private CompletableFuture<Void> move(ServiceView service, TableRow row, Set<String> over) {
    HomeRanges homes = HomeDirectory.parse(row);
    Optional<HomeRanges> completed = complete(service, homes);
    completed.ifPresent(moved -> leader.recordPendingHandover(homes));
    Optional<HomeRanges> next =
        completed.or(() -> take(service, homes, over)).or(() -> begin(service, homes));
    HomeRanges claimed = claim(next.orElse(homes));
    if (claimed.equals(homes)) {
      return CompletableFuture.completedFuture(null);
    }
    HomeRanges value = claimed.toBuilder().setWriteId(writeIds.getAsLong()).build();
    return writes
        .write(row.key(), row.version(), value.toByteString())
        .thenAcceptAsync(written -> changed.run(), control);
  }

  private Optional<HomeRanges> complete(ServiceView service, HomeRanges homes) {
    return planner.complete(
        homes, slices(service), dataCentre, range -> leader.isReleased(name(service), range));
  }

  /** Takes homes of the first data centre that is over and has made a claim on them. */
  private Optional<HomeRanges> take(ServiceView service, HomeRanges homes, Set<String> over) {
    return over.stream()
        .filter(other -> HomeClaims.epoch(homes, other).isPresent())
        .flatMap(other -> planner.take(homes, slices(service), other, targets(service)).stream())
        .findFirst();
  }

  private Optional<HomeRanges> begin(ServiceView service, HomeRanges homes) {
    return planner.begin(homes, slices(service), available(service), targets(service));
  }

  private HomeRanges claim(HomeRanges homes) {
    OptionalLong epoch = leader.leadingEpoch();
    return epoch.isPresent() ? HomeClaims.claim(homes, dataCentre, epoch.getAsLong()) : homes;
  }

  private static int slices(ServiceView service) {
    return service.definition().getInitialSlices();
  }

  private static String name(ServiceView service) {
    return service.definition().getName();
  }

  /** Returns the other data centres that have homes or upstreams, live or not. */
  private Set<String> others(List<ServiceView> services, List<TableRow> rows) {
    Set<String> others = new TreeSet<>();
    rows.stream()
        .flatMap(row -> HomeDirectory.parse(row).getRangesList().stream())
        .map(HomeRange::getDataCentre)
        .forEach(others::add);
    services.stream()
        .flatMap(service -> service.upstreams().stream())
        .map(Upstream::dataCentre)
        .forEach(others::add);
    others.remove(dataCentre);
    return others;
  }

  private List<String> targets(ServiceView service) {
    return available(service).stream()
        .filter(name -> name.equals(dataCentre) || watch.isLed(name))
        .toList();
  }

  private static List<String> available(ServiceView service) {
    return service.upstreams().stream()
        .filter(Upstream::available)
        .map(Upstream::dataCentre)
        .distinct()
        .sorted()
        .toList();
  }
}
