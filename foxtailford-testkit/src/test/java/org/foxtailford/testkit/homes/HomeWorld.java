package org.foxtailford.testkit.homes;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.foxtailford.testkit.simulation.EventQueue;
import org.foxtailford.testkit.upstream.GrantHolder;

/** Data centres with entry VMs and upstreams of their own over one table. */
final class HomeWorld {

  static final String SERVICE = "menu-planning";
  static final String HOMES_ROW = "homes-" + SERVICE;
  static final List<SliceRange> SLICES = SliceRange.divide(12);

  private static final int VMS = 2;
  private static final int LARGEST_RATE_PPM = 90_000;
  private static final long PPM = 1_000_000;

  private final HomeRules rules;
  private final Random random;
  private final EventQueue queue = new EventQueue();
  private final HomeNetwork network;
  private final Map<String, HomeNetwork.Way> localWays = new TreeMap<>();
  private final InMemoryTable table = new InMemoryTable();
  private final List<String> dataCentres;
  private final Map<String, HomeNetwork.Way> ways = new TreeMap<>();
  private final Map<String, HomeEntryVm> entryVms = new TreeMap<>();
  private final Map<String, HomeUpstream> upstreams = new TreeMap<>();
  private final Map<String, MillisClock> clocks = new TreeMap<>();
  private final Set<String> lostByOrder = new TreeSet<>();
  private final List<String> violations = new ArrayList<>();
  private ConfigurationView configuration;
  private long lastId;

  private record HomeUpstream(HomeProcess process, GrantHolder holder, MillisClock clock) {}

  HomeWorld(HomeRules rules, int count, Random random) {
    this.rules = rules;
    this.random = random;
    network = new HomeNetwork(queue, random);
    dataCentres = List.of("dc-a", "dc-b", "dc-c").subList(0, count);
    configuration = newConfiguration();
    ByteString homes = HomeDirectory.initial(SERVICE, SLICES.size(), dataCentres).toByteString();
    table.write(HOMES_ROW, TableService.ABSENT, homes);
    dataCentres.forEach(name -> ways.put(name, new HomeNetwork.Way()));
    dataCentres.forEach(name -> localWays.put(name, new HomeNetwork.Way()));
    dataCentres.forEach(this::start);
  }

  HomeRules rules() {
    return rules;
  }

  EventQueue queue() {
    return queue;
  }

  List<String> dataCentres() {
    return dataCentres;
  }

  ConfigurationView configuration() {
    return configuration;
  }

  long nextId() {
    return ++lastId;
  }

  HomeNetwork.Way way(String dataCentre) {
    return ways.get(dataCentre);
  }

  /** Returns the way between the entry VMs and the upstreams of a data centre. */
  HomeNetwork.Way localWay(String dataCentre) {
    return localWays.get(dataCentre);
  }

  /** Starts every process of a data centre anew. */
  void start(String dataCentre) {
    for (int i = 0; i < VMS; i++) {
      startUpstream("u" + i + "-" + dataCentre);
      startEntryVm("e" + i + "-" + dataCentre, dataCentre);
    }
  }

  /** Loses every process of a data centre. */
  void lose(String dataCentre) {
    for (int i = 0; i < VMS; i++) {
      upstreams.get("u" + i + "-" + dataCentre).process().lose();
      entryVms.get("e" + i + "-" + dataCentre).process().lose();
    }
  }

  /** Returns the entry VMs of a data centre. */
  List<HomeProcess> entryProcesses(String dataCentre) {
    return entryVms.entrySet().stream()
        .filter(entry -> entry.getKey().endsWith(dataCentre))
        .map(entry -> entry.getValue().process())
        .toList();
  }

  /** States that a data centre is lost, or takes that back. */
  void order(String dataCentre, boolean lost) {
    if (lost) {
      lostByOrder.add(dataCentre);
    } else {
      lostByOrder.remove(dataCentre);
    }
    configuration = newConfiguration();
  }

  private void startUpstream(String name) {
    MillisClock clock = clock(name);
    upstreams.put(
        name, new HomeUpstream(new HomeProcess(), new GrantHolder(nextId(), clock), clock));
  }

  private void startEntryVm(String name, String dataCentre) {
    HomeEntryVm vm = new HomeEntryVm(this, name, dataCentre, nextId(), clock(name));
    entryVms.put(name, vm);
    queue.schedule(random.nextInt(HomeRules.RENEW_INTERVAL_MS), () -> tickOften(vm));
  }

  private void tickOften(HomeEntryVm vm) {
    if (vm.process().running()) {
      vm.tick();
      queue.schedule(HomeRules.RENEW_INTERVAL_MS, () -> tickOften(vm));
    }
  }

  private MillisClock clock(String name) {
    long ratePpm = random.nextBoolean() ? LARGEST_RATE_PPM : -LARGEST_RATE_PPM;
    long originMs = random.nextInt(1_000_000);
    return clocks.computeIfAbsent(
        name, n -> () -> originMs + Math.floorDiv(queue.nowMs() * (PPM + ratePpm), PPM));
  }

  /** Returns the table as a process reaches it. */
  TableService table(HomeProcess caller, String dataCentre) {
    HomeNetwork.Way way = ways.get(dataCentre);
    return new TableService() {
      @Override
      public CompletableFuture<Optional<TableRow>> read(String key) {
        return network.call(caller, way, () -> true, () -> table.find(key));
      }

      @Override
      public CompletableFuture<WriteResult> write(String key, long expected, ByteString value) {
        return network.call(
            caller, way, () -> true, () -> table.write(key, expected, value).join());
      }
    };
  }

  /** Returns the upstreams as a process of the same data centre reaches them. */
  UpstreamGrants grants(HomeProcess caller) {
    return new UpstreamGrants() {
      @Override
      public CompletableFuture<GrantReply> status(Upstream upstream) {
        HomeUpstream to = upstreams.get(upstream.name());
        return network.call(
            caller, localWay(upstream.dataCentre()), to.process()::running, to.holder()::status);
      }

      @Override
      public CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request) {
        HomeUpstream to = upstreams.get(upstream.name());
        return network.call(
            caller,
            localWay(upstream.dataCentre()),
            to.process()::running,
            () -> apply(to, request));
      }
    };
  }

  private GrantReply apply(HomeUpstream to, GrantRequest request) {
    GrantReply reply = to.holder().apply(rules.grant(request, to.clock().nowMs()));
    SLICES.forEach(this::requireOneOwner);
    return reply;
  }

  private void requireOneOwner(SliceRange slice) {
    List<String> owners = owners(slice);
    if (owners.size() > 1) {
      violations.add(queue.nowMs() + " ms: " + slice + " has the owners " + owners);
    }
  }

  /** Returns the upstreams that own a slice at this moment. */
  List<String> owners(SliceRange slice) {
    return upstreams.entrySet().stream()
        .filter(entry -> entry.getValue().process().running())
        .filter(e -> e.getValue().holder().ownedFence(SERVICE, slice.first()).isPresent())
        .map(Map.Entry::getKey)
        .toList();
  }

  boolean allOwned() {
    return SLICES.stream().noneMatch(slice -> owners(slice).isEmpty());
  }

  /** Runs until every slice has an owner; returns the time that took, or the limit. */
  long runUntilAllOwned(long limitMs) {
    long startMs = queue.nowMs();
    while (!allOwned() && queue.nowMs() - startMs < limitMs) {
      queue.runUntil(queue.nowMs() + 1);
    }
    return queue.nowMs() - startMs;
  }

  List<String> violations() {
    return violations;
  }

  private ConfigurationView newConfiguration() {
    ServiceDefinition service =
        ServiceDefinition.newBuilder()
            .setName(SERVICE)
            .setKeyed(true)
            .setSelector("vm")
            .setUpstreamsCheckFences(true)
            .setInitialSlices(SLICES.size())
            .build();
    ConfigurationDocument.Builder document =
        ConfigurationDocument.newBuilder().addServices(service);
    VmList.Builder vms = VmList.newBuilder();
    for (String name : dataCentres) {
      boolean lost = lostByOrder.contains(name);
      document.addDataCentres(LabelledDataCentre.newBuilder().setName(name).setLost(lost));
      for (int i = 0; i < VMS; i++) {
        vms.addVms(vm("u" + i + "-" + name, name));
      }
    }
    return ConfigurationView.of(nextId(), document.build(), vms.build());
  }

  private static VmEntry vm(String name, String dataCentre) {
    return VmEntry.newBuilder()
        .setName(name)
        .setDataCentre(dataCentre)
        .setRole(VmRole.VM_ROLE_UPSTREAM)
        .setState(VmState.VM_STATE_LIVE)
        .build();
  }
}
