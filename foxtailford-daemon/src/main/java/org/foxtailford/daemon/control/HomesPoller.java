package org.foxtailford.daemon.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.HomesRow;
import org.jspecify.annotations.Nullable;

/** Reads the homes of ranges from the table, and creates the row of a new service. Thread-safe. */
public final class HomesPoller {

  private final TableService table;
  private final Supplier<ConfigurationView> configuration;
  private final KnownHomes known;
  private final RouterMetrics metrics;
  private final MillisClock clock;

  /**
   * Creates a poller.
   *
   * @param table the table service
   * @param configuration supplies the active configuration
   * @param known updated with the rows of each poll
   * @param metrics counts failed polls
   * @param clock elapsed-time clock of this VM
   */
  public HomesPoller(
      TableService table,
      Supplier<ConfigurationView> configuration,
      KnownHomes known,
      RouterMetrics metrics,
      MillisClock clock) {
    this.table = Assert.notNull(table, "table");
    this.configuration = Assert.notNull(configuration, "configuration");
    this.known = Assert.notNull(known, "known");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Reads the rows of all keyed services once. The future fails if the platform does not answer.
   */
  public CompletableFuture<Void> poll() {
    long startedMs = clock.nowMs();
    List<CompletableFuture<Optional<HomesRow>>> reads =
        configuration.get().services().values().stream()
            .filter(service -> service.definition().getKeyed())
            .map(this::readHomes)
            .toList();
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenRun(() -> known.read(rowsOf(reads), startedMs))
        .whenComplete(this::countFailure);
  }

  private void countFailure(@Nullable Void polled, @Nullable Throwable failure) {
    if (failure != null) {
      metrics.configurationPollFailed();
    }
  }

  private static List<HomesRow> rowsOf(List<CompletableFuture<Optional<HomesRow>>> reads) {
    return reads.stream().flatMap(read -> read.join().stream()).toList();
  }

  private CompletableFuture<Optional<HomesRow>> readHomes(ServiceView service) {
    String key = "homes-" + service.definition().getName();
    return table
        .read(key)
        .thenCompose(row -> row.isPresent() ? parse(row.get()) : createHomes(key, service));
  }

  private static CompletableFuture<Optional<HomesRow>> parse(TableRow row) {
    try {
      HomesRow parsed =
          HomesRow.newBuilder()
              .setKey(row.key())
              .setVersion(row.version())
              .setHomes(HomeRanges.parseFrom(row.value()))
              .build();
      return CompletableFuture.completedFuture(Optional.of(parsed));
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<Optional<HomesRow>> createHomes(String key, ServiceView service) {
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
                    ? parse(row.get())
                    : CompletableFuture.completedFuture(Optional.empty()));
  }
}
