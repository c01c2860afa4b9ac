package org.foxtailford.daemon.peer;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.foxtailford.core.dissemination.OwnershipFeed;
import org.foxtailford.core.membership.Member;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PeerHeartbeat;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.time.FakeMillisClock;

/** Simulates entry VMs of one data centre that exchange heartbeats in memory. */
final class HeartbeatMesh {

  static final int INTERVAL_MS = 300;
  static final int LOST_AFTER_MS = 1200;

  private final FakeMillisClock clock = new FakeMillisClock();
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Set<String> stopped = new TreeSet<>();
  private final Map<String, Long> bytesReceived = new TreeMap<>();
  private final Deque<Runnable> deliveries = new ArrayDeque<>();
  private Optional<String> leader = Optional.empty();

  HeartbeatMesh(int size) {
    VmList.Builder list = VmList.newBuilder();
    for (int i = 0; i < size; i++) {
      list.addVms(entry("vm-" + i));
    }
    for (int i = 0; i < size; i++) {
      Node node = new Node("vm-" + i, i + 1);
      node.tracker.onVmList(list.build());
      nodes.put("vm-" + i, node);
    }
  }

  private static VmEntry entry(String name) {
    return VmEntry.newBuilder()
        .setName(name)
        .setDataCentre("dc")
        .setRole(VmRole.VM_ROLE_ENTRY)
        .setState(VmState.VM_STATE_LIVE)
        .setAddress(Endpoint.getDefaultInstance())
        .build();
  }

  Map<String, Node> nodes() {
    return nodes;
  }

  Set<String> stopped() {
    return stopped;
  }

  Map<String, Long> bytesReceived() {
    return bytesReceived;
  }

  void setLeader(String vm) {
    leader = Optional.of(vm);
  }

  void run(int rounds) {
    for (int i = 0; i < rounds; i++) {
      clock.advance(INTERVAL_MS);
      nodes.values().stream()
          .filter(n -> !stopped.contains(n.name))
          .forEach(n -> n.exchange.tick());
      while (!deliveries.isEmpty()) {
        deliveries.remove().run();
      }
    }
  }

  /** Simulates one entry VM, with its messenger and versioned state. */
  final class Node implements PeerMessenger, HeartbeatExchange.VersionedState {

    private final String name;
    private final MembershipTracker tracker;
    private final OwnershipFeed feed = new OwnershipFeed("dc", 16);
    private final HeartbeatExchange exchange;
    private final PeerIdentity identity;

    Node(String name, long bootId) {
      this.name = name;
      identity = new PeerIdentity("system", name, "dc", bootId);
      tracker = new MembershipTracker(name, "dc", LOST_AFTER_MS, clock);
      exchange = new HeartbeatExchange(identity, tracker, this, this);
    }

    @Override
    public void update(List<Member> members, Collection<String> neighbours) {
      // Messages are delivered in memory, without links.
    }

    @Override
    public void send(String vm, PeerFrame frame) {
      if (!stopped.contains(vm)) {
        bytesReceived.merge(vm, (long) frame.getSerializedSize(), Long::sum);
        deliveries.add(() -> nodes.get(vm).receive(identity, frame));
      }
    }

    MembershipTracker tracker() {
      return tracker;
    }

    OwnershipFeed feed() {
      return feed;
    }

    private void receive(PeerIdentity sender, PeerFrame frame) {
      if (frame.hasHeartbeat()) {
        exchange.onHeartbeat(sender, frame.getHeartbeat());
      } else if (frame.hasMembership()) {
        exchange.onMembership(frame.getMembership());
      } else if (frame.hasOwnership()) {
        feed.accept(frame.getOwnership());
      } else {
        feed.accept(frame.getOwnershipDelta());
      }
    }

    void publish(long sequence) {
      feed.accept(
          OwnershipCheckpoint.newBuilder()
              .setDataCentre("dc")
              .setEpoch(1)
              .setSequence(sequence)
              .build());
    }

    @Override
    public List<String> openIn(String dataCentre) {
      if (!dataCentre.equals("dc") || nodes.size() > PeerNetwork.FULL_MESH_LIMIT) {
        return List.of();
      }
      return nodes.keySet().stream()
          .filter(vm -> !vm.equals(name) && !stopped.contains(vm))
          .toList();
    }

    @Override
    public void addVersions(PeerHeartbeat.Builder heartbeat) {
      heartbeat.setOwnershipVersion(feed.current().version().toValue());
    }

    @Override
    public List<PeerFrame> updatesFor(PeerIdentity sender, PeerHeartbeat received) {
      return feed.messageFor(Fence.of(received.getOwnershipVersion())).stream().toList();
    }

    @Override
    public Optional<Long> leadingEpoch() {
      return leader.filter(name::equals).map(vm -> 1L);
    }
  }
}
