package org.foxtailford.testkit.simulation;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ActiveConfiguration;
import org.foxtailford.core.configuration.ConfigurationRecords;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.HomeRanges;

/**
 * Reads configuration, VM list and homes from the platform, and passes configurations on to other
 * entry VMs. A restart of the VM begins with another object.
 */
final class PolledKnowledge implements PlatformKnowledge {

  static final String HOMES_ROW = "homes-" + SimulatedServices.KEYED;

  private static final long POLL_MS = 1000;

  private final SimulatedCandidate vm;
  private final OwnershipSystem system;
  private final int start;
  private final ActiveConfiguration inForce = new ActiveConfiguration(this::use);
  private ConfigurationView configuration = ConfigurationView.empty();
  private HomesSnapshot homes = HomesSnapshot.none();
  private long homesVersion;

  PolledKnowledge(SimulatedCandidate vm, OwnershipSystem system) {
    this.vm = Assert.notNull(vm, "vm");
    this.system = Assert.notNull(system, "system");
    this.start = vm.starts();
  }

  @Override
  public ConfigurationView configuration() {
    return configuration;
  }

  @Override
  public HomesSnapshot homes() {
    return homes;
  }

  private void use(ConfigurationView view) {
    configuration = system.variant().onConfiguration(configuration, view);
    system.configurations().noteInForce(vm, configuration.version());
  }

  @Override
  public void begin() {
    vm.execute(this::readAll);
    int place = system.candidates().indexOf(vm);
    long phaseMs = POLL_MS * place / system.candidates().size();
    system.queue().schedule(phaseMs, this::poll);
  }

  private void poll() {
    if (start != vm.starts() || !vm.running()) {
      return;
    }
    vm.execute(this::readAll);
    system.queue().schedule(POLL_MS, this::poll);
  }

  private void readAll() {
    system.table().vmList(vm.name()).thenAccept(list -> run(() -> inForce.updateVms(list)));
    system
        .table()
        .from(vm.name())
        .read(ConfigurationRecords.ROW)
        .thenAccept(row -> run(() -> row.map(ConfigurationRecords::parse).ifPresent(this::offer)));
    readHomes();
  }

  /** Runs a step of this start of the VM. */
  private void run(Runnable step) {
    if (start == vm.starts()) {
      vm.execute(step);
    }
  }

  private void offer(ConfigurationVersion version) {
    if (start == vm.starts() && inForce.offer(version)) {
      system.candidates().stream().filter(other -> other != vm).forEach(o -> pass(o, version));
    }
  }

  private void pass(SimulatedCandidate other, ConfigurationVersion version) {
    system.network().send(vm.name(), other, () -> other.knowledge().receive(version));
  }

  /** Tells the other entry VMs which version is in force here. */
  @Override
  public void exchange() {
    long version = inForce.version();
    system.candidates().stream()
        .filter(other -> other != vm)
        .forEach(o -> system.network().send(vm.name(), o, () -> o.knowledge().answer(vm, version)));
  }

  @Override
  public void answer(SimulatedCandidate other, long known) {
    inForce
        .current()
        .filter(current -> current.getVersion() > known)
        .ifPresent(newer -> pass(other, newer));
  }

  @Override
  public void receive(ConfigurationVersion version) {
    offer(version);
  }

  @Override
  public CompletableFuture<Void> readHomes() {
    long sentMs = vm.nowMs();
    CompletableFuture<Void> done = new CompletableFuture<>();
    system
        .table()
        .from(vm.name())
        .read(HOMES_ROW)
        .whenComplete((row, failure) -> run(() -> finish(row, failure, sentMs, done)));
    return done;
  }

  private void finish(
      Optional<TableRow> row, Throwable failure, long sentMs, CompletableFuture<Void> done) {
    if (failure == null) {
      row.ifPresent(found -> acceptHomes(found, sentMs));
    }
    done.complete(null);
  }

  private void acceptHomes(TableRow row, long sentMs) {
    if (row.version() < homesVersion) {
      return;
    }
    homesVersion = row.version();
    try {
      HomeRanges ranges = HomeRanges.parseFrom(row.value());
      homes = new HomesSnapshot(HomeDirectory.of(List.of(ranges)), sentMs);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("homes cannot be read", e);
    }
  }
}
