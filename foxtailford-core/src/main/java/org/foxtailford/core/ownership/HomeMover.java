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
 * Moves slices to another home data centre when their own becomes unavailable, and back when it
 * returns.
 *
 * <p>Runs on the leader of each data centre. Any leader may begin a move, but only the leader of
 * the current home completes it, after the upstreams there have released the slice. Any other
 * leader may take over the homes of a data centre whose leaders' authority has expired. Conditional
 * writes resolve conflicts between leaders.
 *
 * <p>Not thread-safe: all calls and callbacks must run on the same executor.
 */
public final class HomeMover {

  private final String dataCentre;
  private final DataCentreLeader leader;
  private final HomePlanner planner;
  private final LeaderMonitor monitor;
  private final Supplier<ConfigurationView> configuration;
  private final TableService table;
  private final ConditionalWrites writes;
  private final LongSupplier writeIds;
  private final Runnable onRowChanged;
  private final MillisClock clock;
  private final Executor control;
  private boolean inFlight;

  /**
   * Creates a mover.
   *
   * @param dataCentre data centre of the leader
   * @param leader the leader on this VM
   * @param planner decides which slices move
   * @param monitor determines which other data centres have a leader
   * @param configuration supplies the configuration in force
   * @param table the table service
   * @param writeIds supplies a unique ID for each write
   * @param onRowChanged runs after a write to a row, so that the row is read again without delay
   * @param clock clock of this VM
   * @param control executor that runs all callbacks
   */
  public HomeMover(
      String dataCentre,
      DataCentreLeader leader,
      HomePlanner planner,
      LeaderMonitor monitor,
      Supplier<ConfigurationView> configuration,
      TableService table,
      LongSupplier writeIds,
      Runnable onRowChanged,
      MillisClock clock,
      Executor control) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.leader = Assert.notNull(leader, "leader");
    this.planner = Assert.notNull(planner, "planner");
    this.monitor = Assert.notNull(monitor, "monitor");
    this.configuration = Assert.notNull(configuration, "configuration");
    this.table = Assert.notNull(table, "table");
    this.writes = new ConditionalWrites(table);
    this.writeIds = Assert.notNull(writeIds, "writeIds");
    this.onRowChanged = Assert.notNull(onRowChanged, "onRowChanged");
    this.clock = Assert.notNull(clock, "clock");
    this.control = Assert.notNull(control, "control");
  }

  /**
   * Starts one round over all keyed services, unless the previous one is in progress or this VM
   * does not lead its data centre. The interval between calls limits the rate of moves.
   */
  public void tick() {
    if (inFlight || !leader.isLeading()) {
      return;
    }
    inFlight = true;
    List<ServiceView> services =
        configuration.get().services().values().stream()
            .filter(service -> service.definition().getKeyed())
            .toList();
    runRound(services).whenCompleteAsync((done, failure) -> inFlight = false, control);
  }

  /**
   * Input of one round.
   *
   * @param services the keyed services that have a homes row
   * @param rows the homes rows, in the order of the services
   * @param otherDataCentres the other data centres
   */
  private record RoundInput(
      List<ServiceView> services, List<TableRow> rows, Set<String> otherDataCentres) {}

  /**
   * Runs one round. The homes rows are read before the lease rows, so that a take-over is decided
   * on homes that are older than the observation of the lease.
   */
  private CompletableFuture<Void> runRound(List<ServiceView> services) {
    long sentMs = clock.nowMs();
    List<CompletableFuture<Optional<TableRow>>> reads =
        services.stream().map(service -> table.read("homes-" + name(service))).toList();
    return whenAll(reads)
        .thenComposeAsync(
            done -> {
              leader.recordTableResponse(sentMs);
              return decide(services, reads);
            },
            control);
  }

  private CompletableFuture<Void> decide(
      List<ServiceView> services, List<CompletableFuture<Optional<TableRow>>> reads) {
    List<ServiceView> servicesWithHomes = new ArrayList<>();
    List<TableRow> rows = new ArrayList<>();
    for (int i = 0; i < services.size(); i++) {
      Optional<TableRow> row = reads.get(i).join();
      if (row.isPresent()) {
        servicesWithHomes.add(services.get(i));
        rows.add(row.get());
      }
    }
    RoundInput round =
        new RoundInput(servicesWithHomes, rows, otherDataCentres(servicesWithHomes, rows));
    return monitor
        .observe(round.otherDataCentres())
        .thenComposeAsync(observed -> updateRows(round, observed), control);
  }

  private CompletableFuture<Void> updateRows(RoundInput round, boolean observed) {
    List<CompletableFuture<Void>> steps = new ArrayList<>();
    Set<String> expired = new TreeSet<>();
    if (observed) {
      round.otherDataCentres().stream().filter(monitor::isAuthorityExpired).forEach(expired::add);
      round.otherDataCentres().stream()
          .filter(other -> configuration.get().isLost(other))
          .map(monitor::exclude)
          .forEach(steps::add);
    }
    for (int i = 0; i < round.rows().size(); i++) {
      steps.add(updateRow(round.services().get(i), round.rows().get(i), expired));
    }
    return whenAll(steps);
  }

  private static CompletableFuture<Void> whenAll(List<? extends CompletableFuture<?>> steps) {
    return CompletableFuture.allOf(steps.toArray(CompletableFuture<?>[]::new));
  }

  private CompletableFuture<Void> updateRow(
      ServiceView service, TableRow row, Set<String> expired) {
    HomeRanges homes = HomeDirectory.parse(row);
    Optional<HomeRanges> completed = completeMoves(service, homes);
    completed.ifPresent(moved -> leader.recordPendingHandover(homes));
    Optional<HomeRanges> next =
        completed.or(() -> takeOver(service, homes, expired)).or(() -> beginMoves(service, homes));
    HomeRanges claimed = claim(next.orElse(homes));
    if (claimed.equals(homes)) {
      return CompletableFuture.completedFuture(null);
    }
    HomeRanges value = claimed.toBuilder().setWriteId(writeIds.getAsLong()).build();
    return writes
        .write(row.key(), row.version(), value.toByteString())
        .thenAcceptAsync(written -> onRowChanged.run(), control);
  }

  private Optional<HomeRanges> completeMoves(ServiceView service, HomeRanges homes) {
    return planner.completeMoves(
        homes, slices(service), dataCentre, range -> leader.isReleased(name(service), range));
  }

  /**
   * Takes over homes of the first data centre whose authority has expired and that has a claim on
   * the service, if that changes anything.
   */
  private Optional<HomeRanges> takeOver(
      ServiceView service, HomeRanges homes, Set<String> expired) {
    return expired.stream()
        .filter(other -> HomeClaims.claimEpoch(homes, other).isPresent())
        .flatMap(
            other -> planner.takeOver(homes, slices(service), other, targets(service)).stream())
        .findFirst();
  }

  private Optional<HomeRanges> beginMoves(ServiceView service, HomeRanges homes) {
    return planner.beginMoves(homes, slices(service), available(service), targets(service));
  }

  private HomeRanges claim(HomeRanges homes) {
    OptionalLong epoch = leader.leadingEpoch();
    return epoch.isPresent() ? HomeClaims.withClaim(homes, dataCentre, epoch.getAsLong()) : homes;
  }

  private static int slices(ServiceView service) {
    return service.definition().getInitialSlices();
  }

  private static String name(ServiceView service) {
    return service.definition().getName();
  }

  /** Returns the other data centres that have homes or upstreams, whether live or not. */
  private Set<String> otherDataCentres(List<ServiceView> services, List<TableRow> rows) {
    Set<String> otherDataCentres = new TreeSet<>();
    rows.stream()
        .flatMap(row -> HomeDirectory.parse(row).getRangesList().stream())
        .map(HomeRange::getDataCentre)
        .forEach(otherDataCentres::add);
    services.stream()
        .flatMap(service -> service.upstreams().stream())
        .map(Upstream::dataCentre)
        .forEach(otherDataCentres::add);
    otherDataCentres.remove(dataCentre);
    return otherDataCentres;
  }

  private List<String> targets(ServiceView service) {
    return available(service).stream()
        .filter(name -> name.equals(dataCentre) || monitor.hasLeader(name))
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
