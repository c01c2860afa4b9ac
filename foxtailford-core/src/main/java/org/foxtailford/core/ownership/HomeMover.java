package org.foxtailford.core.ownership;

import java.util.List;
import java.util.Optional;
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
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;

/**
 * Moves the homes of slices when data centres go out and come back.
 *
 * <p>Runs on each data centre's leader. Any leader may begin a move; only the leader of the present
 * home completes it, after its upstreams released the slice. Conditional writes decide between
 * leaders. Not thread-safe: all calls and callbacks run on one executor.
 */
public final class HomeMover {

  private final String dataCentre;
  private final DataCentreLeader leader;
  private final HomePlanner planner;
  private final Supplier<ConfigurationView> configuration;
  private final TableService table;
  private final ConditionalWrites writes;
  private final LongSupplier writeIds;
  private final Runnable changed;
  private final Executor control;
  private boolean inFlight;

  /**
   * Creates a mover.
   *
   * @param dataCentre data centre of the leader
   * @param leader the leader on this VM
   * @param planner decides on the moves
   * @param configuration gives the configuration in force
   * @param table the table service
   * @param writeIds gives a number never given before
   * @param changed runs after a row was changed, so that it is read again at once
   * @param control executor of all callbacks
   */
  public HomeMover(
      String dataCentre,
      DataCentreLeader leader,
      HomePlanner planner,
      Supplier<ConfigurationView> configuration,
      TableService table,
      LongSupplier writeIds,
      Runnable changed,
      Executor control) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.leader = Assert.notNull(leader, "leader");
    this.planner = Assert.notNull(planner, "planner");
    this.configuration = Assert.notNull(configuration, "configuration");
    this.table = Assert.notNull(table, "table");
    this.writes = new ConditionalWrites(table);
    this.writeIds = Assert.notNull(writeIds, "writeIds");
    this.changed = Assert.notNull(changed, "changed");
    this.control = Assert.notNull(control, "control");
  }

  /** Runs one round over all keyed services; the time between rounds bounds the rate of moves. */
  public void tick() {
    if (inFlight || !leader.leads()) {
      return;
    }
    inFlight = true;
    CompletableFuture<?>[] steps =
        configuration.get().services().values().stream()
            .filter(service -> service.definition().getKeyed())
            .map(this::step)
            .toArray(CompletableFuture<?>[]::new);
    CompletableFuture.allOf(steps).whenCompleteAsync((done, failure) -> inFlight = false, control);
  }

  private CompletableFuture<Void> step(ServiceView service) {
    String key = "homes-" + service.definition().getName();
    return table
        .read(key)
        .thenComposeAsync(
            row ->
                row.map(found -> move(service, found))
                    .orElseGet(() -> CompletableFuture.completedFuture(null)),
            control);
  }

  private CompletableFuture<Void> move(ServiceView service, TableRow row) {
    HomeRanges homes = HomeDirectory.parse(row);
    String name = service.definition().getName();
    int slices = service.definition().getInitialSlices();
    Optional<HomeRanges> next =
        planner
            .complete(homes, slices, dataCentre, range -> leader.released(name, range))
            .or(() -> planner.begin(homes, slices, available(service)));
    if (next.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    HomeRanges value = next.get().toBuilder().setWriteId(writeIds.getAsLong()).build();
    return writes
        .write(row.key(), row.version(), value.toByteString())
        .thenAcceptAsync(written -> changed.run(), control);
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
