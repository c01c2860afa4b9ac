package org.foxtailford.daemon.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailford.core.configuration.ConfigurationInForce;
import org.foxtailford.core.configuration.ConfigurationRecords;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomesReading;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.VmListSource;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.VmList;
import org.jspecify.annotations.Nullable;

/**
 * Reads the configuration, the VM list and the homes of ranges from the platform.
 *
 * <p>Each of them is taken as it comes, so that a failure to read one does not hold up the others.
 */
public final class ConfigurationPoller {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TableService table;
  private final VmListSource vmList;
  private final ConfigurationInForce inForce;
  private final RoutingState state;
  private final Consumer<VmList> vmListener;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final ConcurrentMap<String, TableRow> newestHomes = new ConcurrentHashMap<>();

  /**
   * Creates a poller.
   *
   * @param table the table service
   * @param vmList the VM list
   * @param inForce receives configurations and VM lists
   * @param state receives the homes of ranges
   * @param vmListener receives each VM list that was read
   * @param metrics counters
   * @param clock clock of this VM
   */
  public ConfigurationPoller(
      TableService table,
      VmListSource vmList,
      ConfigurationInForce inForce,
      RoutingState state,
      Consumer<VmList> vmListener,
      RouterMetrics metrics,
      MillisClock clock) {
    this.table = Assert.notNull(table, "table");
    this.vmList = Assert.notNull(vmList, "vmList");
    this.inForce = Assert.notNull(inForce, "inForce");
    this.state = Assert.notNull(state, "state");
    this.vmListener = Assert.notNull(vmListener, "vmListener");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Reads the VM list and the homes once. The future fails if the platform does not answer. */
  public CompletableFuture<Void> poll() {
    CompletableFuture<Void> vms = vmList.read().thenAccept(this::acceptVms);
    return CompletableFuture.allOf(vms, pollHomes()).whenComplete(this::countFailure);
  }

  /** Reads the configuration. */
  public CompletableFuture<Void> pollConfiguration() {
    return table
        .readIfChanged(ConfigurationRecords.ROW, inForce.version())
        .thenAccept(row -> row.ifPresent(this::acceptConfiguration));
  }

  private void countFailure(@Nullable Void polled, @Nullable Throwable failure) {
    if (failure != null) {
      metrics.configurationPollFailed();
    }
  }

  private void acceptVms(VmList vms) {
    vmListener.accept(vms);
    inForce.acceptVms(vms);
  }

  private void acceptConfiguration(TableRow row) {
    if (row.version() <= inForce.version()) {
      return;
    }
    try {
      if (inForce.offer(ConfigurationRecords.parse(row))) {
        metrics.configurationAccepted();
        logger.atInfo().log("configuration version %d is in force", row.version());
        return;
      }
    } catch (ResultCodeException e) {
      inForce.noteUnreadable(row.version(), String.valueOf(e.getMessage()));
    }
    inForce.unreadableReason().ifPresent(this::reportUnreadable);
  }

  private void reportUnreadable(String reason) {
    metrics.configurationUnreadable();
    logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
        "keeping configuration version %d: %s", inForce.version(), reason);
  }

  /** Reads the homes of ranges. */
  public CompletableFuture<Void> pollHomes() {
    long startedMs = clock.nowMs();
    List<CompletableFuture<Optional<HomeRanges>>> reads =
        state.snapshot().configuration().services().values().stream()
            .filter(service -> service.definition().getKeyed())
            .map(this::readHomes)
            .toList();
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenRun(() -> acceptHomes(reads, startedMs));
  }

  private void acceptHomes(List<CompletableFuture<Optional<HomeRanges>>> reads, long startedMs) {
    List<HomeRanges> rows = reads.stream().flatMap(read -> read.join().stream()).toList();
    state.acceptHomes(new HomesReading(HomeDirectory.of(rows), startedMs));
  }

  private CompletableFuture<Optional<HomeRanges>> readHomes(ServiceView service) {
    String key = "homes-" + service.definition().getName();
    return table
        .read(key)
        .thenCompose(row -> row.isPresent() ? parseHomes(row.get()) : createHomes(key, service));
  }

  /** Reads that overtake each other must not bring an older row back. */
  private CompletableFuture<Optional<HomeRanges>> parseHomes(TableRow row) {
    TableRow newest =
        newestHomes.merge(row.key(), row, (a, b) -> a.version() >= b.version() ? a : b);
    try {
      return CompletableFuture.completedFuture(Optional.of(HomeRanges.parseFrom(newest.value())));
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<Optional<HomeRanges>> createHomes(String key, ServiceView service) {
    List<String> dataCentres =
        List.copyOf(
            new TreeSet<>(
                service.upstreams().stream()
                    .filter(Upstream::available)
                    .map(Upstream::dataCentre)
                    .toList()));
    if (dataCentres.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    int slices = service.definition().getInitialSlices();
    String name = service.definition().getName();
    ByteString value = HomeDirectory.initial(name, slices, dataCentres).toByteString();
    return table
        .write(key, TableService.ABSENT, value)
        .thenCompose(written -> table.read(key))
        .thenCompose(
            row ->
                row.isPresent()
                    ? parseHomes(row.get())
                    : CompletableFuture.completedFuture(Optional.empty()));
  }
}
