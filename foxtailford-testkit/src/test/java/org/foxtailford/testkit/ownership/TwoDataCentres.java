package org.foxtailford.testkit.ownership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomeMover;
import org.foxtailford.core.ownership.HomePlanner;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.ownership.LeaderMonitor;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.foxtailford.testkit.time.FakeMillisClock;
import org.foxtailford.testkit.upstream.GrantHolder;

/** Two data centres with a leader and an upstream each, over one table. */
final class TwoDataCentres {

  static final String SERVICE = "menu-planning";
  static final List<SliceRange> SLICES = SliceRange.divide(16);

  private static final int ROUND_MS = 200;
  private static final String HOMES_ROW = "homes-" + SERVICE;

  private final FakeMillisClock clock = new FakeMillisClock();
  private final InMemoryTable table = new InMemoryTable();
  private final Map<String, GrantHolder> holders = new TreeMap<>();
  private final List<Runnable> rounds = new ArrayList<>();
  private ConfigurationView configuration;
  private boolean homesAreOld;
  private long writeIds;

  TwoDataCentres() {
    configuration = configuration(1, false);
    List<String> names = List.of("dc-a", "dc-b");
    HomeRanges homes = HomeDirectory.initial(SERVICE, SLICES.size(), names);
    table.write(HOMES_ROW, TableService.ABSENT, homes.toByteString());
    names.forEach(this::addDataCentre);
  }

  private void addDataCentre(String name) {
    holders.put("u-" + name, new GrantHolder(name.hashCode() & 0xffff, clock));
    OwnershipTiming timing =
        OwnershipTiming.of(SettingsDefaults.applyAll(OwnershipSettings.newBuilder()).build());
    LeaseElection election =
        new LeaseElection(
            "leader-" + name, "e-" + name, 1, timing, table, clock, this::nextId, Runnable::run);
    DataCentreLeader leader =
        new DataCentreLeader(
            name,
            election,
            timing,
            new DirectGrants(),
            new EvenCountPolicy(1),
            checkpoint -> {},
            () -> configuration,
            this::homes,
            clock,
            Runnable::run);
    HomeMover mover =
        new HomeMover(
            name,
            leader,
            new HomePlanner(8),
            new LeaderMonitor(timing, 1000, table, clock, this::nextId, Runnable::run),
            () -> configuration,
            table,
            this::nextId,
            () -> {},
            clock,
            Runnable::run);
    rounds.add(election::tick);
    rounds.add(leader::tick);
    rounds.add(mover::tick);
  }

  private long nextId() {
    return ++writeIds;
  }

  private HomesSnapshot homes() {
    try {
      HomeRanges row = HomeRanges.parseFrom(table.find(HOMES_ROW).orElseThrow().value());
      long asOfMs = homesAreOld ? -1 : clock.nowMs();
      return new HomesSnapshot(HomeDirectory.of(List.of(row)), asOfMs);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Makes the leaders see homes that were read before their terms. */
  void setHomesAreOld(boolean value) {
    homesAreOld = value;
  }

  /** Takes dc-b out or brings it back. */
  void setSecondOut(boolean out) {
    configuration = configuration(configuration.version() + 1, out);
  }

  /** Runs one round of everything. */
  void runRound() {
    clock.advance(ROUND_MS);
    rounds.forEach(Runnable::run);
  }

  /** Returns the upstreams that hold a slice at this moment. */
  List<String> owners(SliceRange slice) {
    return holders.entrySet().stream()
        .filter(entry -> entry.getValue().ownedFence(SERVICE, slice.first()).isPresent())
        .map(Map.Entry::getKey)
        .toList();
  }

  private static ConfigurationView configuration(long version, boolean secondOut) {
    ServiceDefinition service =
        ServiceDefinition.newBuilder()
            .setName(SERVICE)
            .setKeyed(true)
            .setSelector("vm")
            .setUpstreamsCheckFences(true)
            .setInitialSlices(SLICES.size())
            .build();
    ConfigurationDocument document =
        ConfigurationDocument.newBuilder()
            .addServices(service)
            .addDataCentres(LabelledDataCentre.newBuilder().setName("dc-b").setOut(secondOut))
            .build();
    VmList vms = VmList.newBuilder().addVms(vm("dc-a")).addVms(vm("dc-b")).build();
    return ConfigurationView.of(version, document, vms);
  }

  private static VmEntry vm(String dataCentre) {
    return VmEntry.newBuilder()
        .setName("u-" + dataCentre)
        .setDataCentre(dataCentre)
        .setRole(VmRole.VM_ROLE_UPSTREAM)
        .setState(VmState.VM_STATE_LIVE)
        .build();
  }

  /** Reaches upstreams at once. */
  private final class DirectGrants implements UpstreamGrants {

    @Override
    public CompletableFuture<GrantReply> status(Upstream upstream) {
      return CompletableFuture.completedFuture(holders.get(upstream.name()).status());
    }

    @Override
    public CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request) {
      return CompletableFuture.completedFuture(holders.get(upstream.name()).apply(request));
    }
  }
}
