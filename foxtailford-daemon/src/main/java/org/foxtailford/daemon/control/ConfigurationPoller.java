package org.foxtailford.daemon.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.VmListSource;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.VmList;

/** Reads the configuration, the VM list and the homes of ranges from the platform. */
public final class ConfigurationPoller {

  /** Row of the configuration in force. */
  public static final String CONFIGURATION_ROW = "configuration";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TableService table;
  private final VmListSource vmList;
  private final RoutingState state;
  private final Consumer<VmList> vmListener;

  /**
   * Creates a poller.
   *
   * @param table the table service
   * @param vmList the VM list
   * @param state receives what was read
   * @param vmListener receives each VM list that was read
   */
  public ConfigurationPoller(
      TableService table, VmListSource vmList, RoutingState state, Consumer<VmList> vmListener) {
    this.table = Assert.notNull(table, "table");
    this.vmList = Assert.notNull(vmList, "vmList");
    this.state = Assert.notNull(state, "state");
    this.vmListener = Assert.notNull(vmListener, "vmListener");
  }

  /** Reads everything once. The future fails if the platform does not answer. */
  public CompletableFuture<Void> poll() {
    CompletableFuture<Optional<TableRow>> row = table.read(CONFIGURATION_ROW);
    return vmList.read().thenCombine(row, this::accept).thenCompose(accepted -> pollHomes());
  }

  private boolean accept(VmList vms, Optional<TableRow> row) {
    vmListener.accept(vms);
    row.flatMap(ConfigurationPoller::parse)
        .map(document -> ConfigurationView.of(row.get().version(), document, vms))
        .ifPresent(state::acceptConfiguration);
    return true;
  }

  private static Optional<ConfigurationDocument> parse(TableRow row) {
    try {
      return Optional.of(ConfigurationDocument.parseFrom(row.value()));
    } catch (InvalidProtocolBufferException e) {
      logger.atSevere().withCause(e).log("configuration version %d is unreadable", row.version());
      return Optional.empty();
    }
  }

  private CompletableFuture<Void> pollHomes() {
    List<CompletableFuture<Optional<HomeRanges>>> reads =
        state.snapshot().configuration().services().values().stream()
            .filter(service -> service.definition().getKeyed())
            .map(this::readHomes)
            .toList();
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenRun(() -> acceptHomes(reads));
  }

  private void acceptHomes(List<CompletableFuture<Optional<HomeRanges>>> reads) {
    List<HomeRanges> rows = reads.stream().flatMap(read -> read.join().stream()).toList();
    state.acceptHomes(HomeDirectory.of(rows));
  }

  private CompletableFuture<Optional<HomeRanges>> readHomes(ServiceView service) {
    String key = "homes-" + service.definition().getName();
    return table
        .read(key)
        .thenCompose(row -> row.isPresent() ? parseHomes(row.get()) : createHomes(key, service));
  }

  private static CompletableFuture<Optional<HomeRanges>> parseHomes(TableRow row) {
    try {
      return CompletableFuture.completedFuture(Optional.of(HomeRanges.parseFrom(row.value())));
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
