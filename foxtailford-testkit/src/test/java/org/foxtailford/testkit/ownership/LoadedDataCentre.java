package org.foxtailford.testkit.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.load.SliceLoadAggregator;
import org.foxtailford.core.load.SliceLoadRecorder;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipListener;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.PlacementSetup;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.LoadReport;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.foxtailford.testkit.time.FakeMillisClock;
import org.foxtailford.testkit.upstream.GrantHolder;

/** One data centre with a running leader, upstreams, and entry VMs that report their load. */
final class LoadedDataCentre {

  static final String SERVICE = "menu-planning";
  static final List<SliceRange> SLICES = SliceRange.divide(24);

  private static final String NAME = "dc-a";
  private static final int ROUND_MS = 200;
  private static final int ROUNDS_PER_REPORT = 10;
  private static final long PLACEMENT_INTERVAL_MS = 1000;

  private final FakeMillisClock clock = new FakeMillisClock();
  private final InMemoryTable table = new InMemoryTable();
  private final Map<String, GrantHolder> holders = new TreeMap<>();
  private final Map<String, SliceLoadRecorder> recorders = new LinkedHashMap<>();
  private final Map<Long, Integer> requestsByHash = new LinkedHashMap<>();
  private final Set<String> absent = new TreeSet<>();
  private final SliceLoadAggregator book =
      new SliceLoadAggregator(clock, SliceLoadAggregator.HALF_LIFE_MS);
  private final PlacementPolicy policy;
  private final List<String> events = new ArrayList<>();
  private final OwnershipListener listener = new EventList();
  private ConfigurationView configuration;
  private LeaseElection election;
  private DataCentreLeader leader;
  private OwnershipMap owners = OwnershipMap.empty(NAME);
  private long writeIds;
  private long rounds;
  private long terms;
  private int moves;

  LoadedDataCentre(PlacementPolicy policy, int upstreams, int entryVms) {
    this.policy = policy;
    for (int i = 0; i < upstreams; i++) {
      holders.put("u-" + i, new GrantHolder(i + 1, clock));
    }
    for (int i = 0; i < entryVms; i++) {
      recorders.put("e-" + i, new SliceLoadRecorder("e-" + i, 1));
    }
    SLICES.forEach(range -> requestsByHash.put(range.first(), 20));
    configuration = configuration(1);
    startLeader();
  }

  /** Loses the leader and starts another one that knows nothing. */
  void replaceLeader() {
    startLeader();
  }

  private void startLeader() {
    OwnershipTiming timing =
        OwnershipTiming.of(SettingsDefaults.applyAll(OwnershipSettings.newBuilder()).build());
    HomeDirectory homes =
        HomeDirectory.of(List.of(HomeDirectory.initial(SERVICE, SLICES.size(), List.of(NAME))));
    election =
        new LeaseElection(
            "leader", "e-" + terms++, 1, timing, table, clock, this::nextId, Runnable::run);
    leader =
        new DataCentreLeader(
            NAME,
            election,
            timing,
            new DirectGrants(),
            new PlacementSetup(policy, book, PLACEMENT_INTERVAL_MS),
            this::publish,
            () -> configuration,
            () -> new HomesSnapshot(homes, clock.nowMs()),
            listener,
            clock,
            Runnable::run);
  }

  private long nextId() {
    return ++writeIds;
  }

  private void publish(OwnershipCheckpoint checkpoint) {
    OwnershipMap next = OwnershipMap.of(checkpoint);
    for (SliceAssignment slice : next.slices(SERVICE)) {
      moves +=
          owners
              .owner(SERVICE, slice.range().first())
              .filter(before -> !before.upstream().equals(slice.upstream()))
              .map(before -> 1)
              .orElse(0);
    }
    owners = next;
    SliceLayout layout =
        new SliceLayout(owners.slices(SERVICE).stream().map(SliceAssignment::range).toList());
    recorders.values().forEach(recorder -> recorder.useLayout(SERVICE, layout));
  }

  /** Sets how many requests each entry VM sends for a key between two reports. */
  void setRequests(long keyHash, int requests) {
    requestsByHash.put(keyHash, requests);
  }

  /** Takes an upstream out of the platform's list, or puts it back. */
  void setAbsent(String upstream, boolean value) {
    if (value) {
      absent.add(upstream);
    } else {
      absent.remove(upstream);
    }
    configuration = configuration(configuration.version() + 1);
  }

  void runSeconds(int seconds) {
    for (int i = 0; i < seconds * 1000 / ROUND_MS; i++) {
      clock.advance(ROUND_MS);
      election.tick();
      leader.tick();
      if (++rounds % ROUNDS_PER_REPORT == 0) {
        recorders.keySet().forEach(vm -> book.accept(report(vm)));
      }
    }
  }

  private LoadReport report(String vm) {
    SliceLoadRecorder recorder = recorders.get(vm);
    requestsByHash.forEach(
        (hash, requests) -> {
          for (int i = 0; i < requests; i++) {
            recorder.record(SERVICE, hash);
          }
        });
    return recorder.report();
  }

  SliceLoadAggregator book() {
    return book;
  }

  OwnershipMap owners() {
    return owners;
  }

  /** Returns how often a slice was published with another owner than before. */
  int moves() {
    return moves;
  }

  /** Returns the slices of an upstream by the published owners. */
  List<SliceRange> slicesOf(String upstream) {
    return owners.slices(SERVICE).stream()
        .filter(slice -> slice.upstream().equals(upstream))
        .map(SliceAssignment::range)
        .toList();
  }

  /** Returns the requests of the busiest upstream over the mean, by the published owners. */
  double imbalance() {
    Map<String, Integer> sums = new TreeMap<>();
    requestsByHash.forEach(
        (hash, requests) ->
            owners
                .owner(SERVICE, hash)
                .ifPresent(slice -> sums.merge(slice.upstream(), requests, Integer::sum)));
    int total = sums.values().stream().mapToInt(Integer::intValue).sum();
    return (double) Collections.max(sums.values()) * holders.size() / total;
  }

  /** Returns the upstreams that hold a key at this moment. */
  List<String> holdersOf(long keyHash) {
    List<String> names = new ArrayList<>();
    holders.forEach(
        (name, holder) -> {
          if (holder.ownedFence(SERVICE, keyHash).isPresent()) {
            names.add(name);
          }
        });
    return names;
  }

  private ConfigurationView configuration(long version) {
    ServiceDefinition service =
        ServiceDefinition.newBuilder()
            .setName(SERVICE)
            .setKeyed(true)
            .setSelector("vm")
            .setUpstreamsCheckFences(true)
            .setInitialSlices(SLICES.size())
            .build();
    VmList.Builder vms = VmList.newBuilder();
    holders.keySet().stream()
        .filter(name -> !absent.contains(name))
        .forEach(
            name ->
                vms.addVms(
                    VmEntry.newBuilder()
                        .setName(name)
                        .setDataCentre(NAME)
                        .setRole(VmRole.VM_ROLE_UPSTREAM)
                        .setState(VmState.VM_STATE_LIVE)));
    ConfigurationDocument document =
        ConfigurationDocument.newBuilder().addServices(service).build();
    return ConfigurationView.of(version, document, vms.build());
  }

  /** Returns what leaders announced, by name, orders left out unless they were refused. */
  List<String> events() {
    return events;
  }

  private final class EventList implements OwnershipListener {

    @Override
    public void grantRefused() {
      events.add("refused");
    }

    @Override
    public void moved(String service) {
      events.add("moved");
    }

    @Override
    public void split(String service) {
      events.add("split");
    }

    @Override
    public void merged(String service) {
      events.add("merged");
    }
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
