package org.foxtailford.daemon.coldstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.foxtailford.core.coldstart.GateLeaseManager;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.ServiceAssignment;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.SliceAssignmentValue;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.upstream.UpstreamProfile;

/**
 * Simulates the entry VMs of one data centre, at full load once {@link #startLoad} was called, and
 * two upstreams that start cold. Messages are delayed or lost, clocks differ, and tests change the
 * leader, the list of live VMs and the incarnations of the upstreams.
 */
final class SlowStartSimulation {

  static final String OWNER = "u1";
  private static final int COLD_SLOTS = 2;
  private static final int COLD_MS = 9_500;
  private static final int WARM_UP_MS = 10_000;
  private static final int COLD_TIMEOUT_MS = 400;
  private static final int SERVICE_TIME_MS = 300;
  private static final int SLOTS = 24;
  private static final int LEASE_MS = 600;
  static final int ROUND_MS = 200;
  private static final int REQUEST_INTERVAL_MS = 8;
  private static final int MAX_CLOCK_OFFSET_MS = 100_000;

  private final SimulatedTime time = new SimulatedTime();
  private final Random random;
  private final Map<Endpoint, SimulatedUpstream> upstreams = new HashMap<>();
  private final List<SimulatedEntryVm> vms = new ArrayList<>();
  private final RoutingSnapshot snapshot;
  private SimulatedEntryVm leader;
  private long epoch;
  private boolean renewing;

  SlowStartSimulation(int entryVms, boolean guarded, long seed) {
    random = new Random(seed);
    upstreams.put(address(1), newUpstream(OWNER));
    upstreams.put(address(2), newUpstream("u2"));
    snapshot =
        RoutingSnapshot.initial("a")
            .withConfiguration(ConfigurationView.of(1, configuration(), vmList()))
            .withHomes(HomeDirectory.of(List.of(HomeDirectory.initial("menu", 1, List.of("a")))))
            .withOwners(OwnershipMap.of(owners()));
    for (int i = 0; i < entryVms; i++) {
      vms.add(
          new SimulatedEntryVm(
              this, "e" + i, 100 + i, guarded, random.nextInt(MAX_CLOCK_OFFSET_MS)));
    }
    setLive(names());
    makeLeader(vms.get(0));
    vms.forEach(vm -> time.after(random.nextInt(ROUND_MS), () -> time.every(ROUND_MS, vm::tick)));
    time.every(ROUND_MS, this::renew);
  }

  private SimulatedUpstream newUpstream(String name) {
    return new SimulatedUpstream(
        new UpstreamProfile(name, false, SLOTS, COLD_SLOTS, COLD_MS, SERVICE_TIME_MS), time);
  }

  private static Endpoint address(int number) {
    return Endpoint.newBuilder().setHost("127.0.0.1").setPort(number).build();
  }

  private static ConfigurationDocument configuration() {
    RequestKind get = RequestKind.newBuilder().setName("get").setIdempotent(true).build();
    ServiceDefinition.Builder service =
        ServiceDefinition.newBuilder()
            .setSelector("data-centre=a")
            .setSlotsPerUpstream(SLOTS)
            .setColdSlots(COLD_SLOTS)
            .setWarmUpMs(WARM_UP_MS)
            .setColdTimeoutMs(COLD_TIMEOUT_MS)
            .addKinds(get);
    return ConfigurationDocument.newBuilder()
        .addServices(service.setName("pantry"))
        .addServices(service.setName("menu").setKeyed(true).setUpstreamsCheckFences(true))
        .build();
  }

  private static VmList vmList() {
    VmList.Builder list = VmList.newBuilder();
    for (int i = 1; i <= 2; i++) {
      list.addVms(
          VmEntry.newBuilder()
              .setName("u" + i)
              .setDataCentre("a")
              .setRole(VmRole.VM_ROLE_UPSTREAM)
              .setState(VmState.VM_STATE_LIVE)
              .setAddress(address(i)));
    }
    return list.build();
  }

  private static OwnershipCheckpoint owners() {
    SliceAssignmentValue allKeys =
        SliceAssignmentValue.newBuilder()
            .setRange(SliceRange.divide(1).get(0).toValue())
            .setUpstream(OWNER)
            .setFence(new Fence(1, 1).toValue())
            .build();
    return OwnershipCheckpoint.newBuilder()
        .setDataCentre("a")
        .setEpoch(1)
        .setSequence(1)
        .addServices(ServiceAssignment.newBuilder().setService("menu").addSlices(allKeys))
        .build();
  }

  SimulatedTime time() {
    return time;
  }

  Random random() {
    return random;
  }

  Map<Endpoint, SimulatedUpstream> upstreams() {
    return upstreams;
  }

  RoutingSnapshot snapshot() {
    return snapshot;
  }

  List<SimulatedEntryVm> vms() {
    return vms;
  }

  SimulatedEntryVm vm(String name) {
    return vms.stream().filter(vm -> vm.name().equals(name)).findFirst().orElseThrow();
  }

  /** Returns the upstream that owns every key. */
  SimulatedUpstream owner() {
    return upstreams.get(address(1));
  }

  /** Starts callers that send requests to every entry VM at a constant rate. */
  void startLoad() {
    for (SimulatedEntryVm vm : vms) {
      time.every(REQUEST_INTERVAL_MS, () -> vm.request("/pantry/get"));
      time.every(REQUEST_INTERVAL_MS, () -> vm.request("/menu/get"));
    }
  }

  void run(long ms) {
    time.advance(ms);
  }

  /** Stops the current leader's renewals; another VM becomes leader once the lease has expired. */
  void loseLeader() {
    renewing = false;
    int next = (vms.indexOf(leader) + 1) % vms.size();
    time.after(LEASE_MS + 1, () -> makeLeader(vms.get(next)));
  }

  private void makeLeader(SimulatedEntryVm vm) {
    leader = vm;
    renewing = true;
    epoch++;
    long nowMs = vm.clock().nowMs();
    vm.setLease(Optional.of(new HeldLease(epoch, epoch, nowMs, nowMs + LEASE_MS)));
    vms.forEach(other -> other.setLeader(vm.name()));
  }

  private void renew() {
    if (renewing) {
      HeldLease held = leader.leadership().orElseThrow();
      long untilMs = leader.clock().nowMs() + LEASE_MS;
      leader.setLease(
          Optional.of(new HeldLease(epoch, held.rowVersion(), held.acquiredMs(), untilMs)));
    }
  }

  /** Returns the VM that should hold the owner's gate while every VM is listed as live. */
  String holder() {
    return GateLeaseManager.chooseHolder(OWNER, names()).orElseThrow();
  }

  private List<String> names() {
    return vms.stream().map(SimulatedEntryVm::name).toList();
  }

  /** Removes the gate holder from every VM's list of live VMs; it continues to send requests. */
  void dropHolder() {
    setLive(names().stream().filter(name -> !name.equals(holder())).toList());
  }

  /** Lists every VM as live again. */
  void listAllVms() {
    setLive(names());
  }

  private void setLive(List<String> names) {
    vms.forEach(vm -> time.after(random.nextInt(ROUND_MS), () -> vm.setLive(names)));
    vms.forEach(vm -> vm.setLive(vm.liveVms().isEmpty() ? names : vm.liveVms()));
  }

  long excessColdRequests() {
    return upstreams.values().stream().mapToLong(SimulatedUpstream::excessColdRequests).sum();
  }

  int resultCount(ResultCode code) {
    return vms.stream().mapToInt(vm -> vm.results().getOrDefault(code, 0)).sum();
  }
}
