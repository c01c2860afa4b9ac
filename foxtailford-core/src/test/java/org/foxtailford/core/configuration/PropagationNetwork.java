package org.foxtailford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.VmList;

/**
 * Simulated network of nodes that exchange propagation messages, with delays, losses and faults.
 */
final class PropagationNetwork {

  private static final long TICK_MS = 100;
  private static final int MAX_DELAY_MS = 30;
  private static final int FULL_MESH_LIMIT = 64;
  private static final int DATA_CENTRE_NAME_LENGTH = 4;

  private final Map<String, Node> nodes = new TreeMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, DisseminationTree> trees = new TreeMap<>();
  private final Random random;
  private final PropagationTiming timing;
  private final int fanOut;
  private final List<ConfigurationVersion> accepted = new ArrayList<>();
  private final Set<String> cutOff = new HashSet<>();
  private final Set<String> withoutTable = new HashSet<>();
  private final Set<String> paused = new HashSet<>();
  private double lossRate;
  private long nowMs;
  private long order;
  private long tableReads;
  private long messages;
  private long messageBytes;

  PropagationNetwork(Random random, PropagationTiming timing, int fanOut) {
    this.random = random;
    this.fanOut = fanOut;
    this.timing = timing;
  }

  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  void addDataCentres(int dataCentres, int nodesPerDataCentre) {
    for (int dc = 0; dc < dataCentres; dc++) {
      for (int i = 0; i < nodesPerDataCentre; i++) {
        String name = String.format("dc%02d-vm%03d", dc, i);
        Node node = new Node(name);
        nodes.put(name, node);
        schedule(random.nextInt((int) TICK_MS), node::tick);
      }
    }
    for (Node node : nodes.values()) {
      trees.computeIfAbsent(
          dataCentre(node.name),
          dataCentre -> DisseminationTree.of(dataCentre, Optional.empty(), members(node), fanOut));
    }
    nodes.values().forEach(this::setMembers);
  }

  /** Replaces a node by a new one that has no configuration. */
  void restart(String name) {
    Node node = new Node(name);
    nodes.put(name, node);
    setMembers(node);
  }

  private void setMembers(Node node) {
    List<String> linked =
        members(node).stream()
            .filter(peer -> !peer.equals(node.name) && isLinked(node.name, peer))
            .toList();
    node.propagation.setMembers(trees.get(dataCentre(node.name)), linked, remotePeers(node));
  }

  private static String dataCentre(String name) {
    return name.substring(0, DATA_CENTRE_NAME_LENGTH);
  }

  private List<String> members(Node node) {
    return nodes.keySet().stream().filter(n -> sameDataCentre(n, node.name)).toList();
  }

  private List<String> remotePeers(Node node) {
    return nodes.keySet().stream().filter(n -> !sameDataCentre(n, node.name)).limit(4).toList();
  }

  private static boolean sameDataCentre(String a, String b) {
    return dataCentre(a).equals(dataCentre(b));
  }

  /**
   * Returns whether two nodes are connected. In a data centre with more than {@link
   * #FULL_MESH_LIMIT} nodes only neighbours in the tree are.
   */
  private boolean isLinked(String a, String b) {
    if (!sameDataCentre(a, b)) {
      return true;
    }
    DisseminationTree tree = trees.get(dataCentre(a));
    return tree.size() <= FULL_MESH_LIMIT || tree.neighbours(a).contains(b);
  }

  List<String> names() {
    return List.copyOf(nodes.keySet());
  }

  Set<String> cutOff() {
    return cutOff;
  }

  Set<String> withoutTable() {
    return withoutTable;
  }

  Set<String> paused() {
    return paused;
  }

  void setLossRate(double rate) {
    lossRate = rate;
  }

  void removeFaults() {
    cutOff.clear();
    withoutTable.clear();
    paused.clear();
    lossRate = 0;
  }

  void accept(ConfigurationRecord record) {
    accepted.add(
        ConfigurationVersion.newBuilder()
            .setVersion(accepted.size() + 1L)
            .setRecord(record.toBuilder().setSchema(ConfigurationRecords.SCHEMA_VERSION))
            .build());
  }

  boolean isActiveEverywhere() {
    return nodes.values().stream()
        .allMatch(n -> n.activeConfiguration.version() == accepted.size());
  }

  long nowMs() {
    return nowMs;
  }

  long tableReads() {
    return tableReads;
  }

  long messages() {
    return messages;
  }

  long messageBytes() {
    return messageBytes;
  }

  void runUntil(long untilMs) {
    while (!events.isEmpty() && events.peek().atMs <= untilMs) {
      Event event = events.remove();
      nowMs = event.atMs;
      event.action.run();
    }
    nowMs = untilMs;
  }

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, order++, action));
  }

  /** Simulated entry VM. */
  private final class Node {

    private final String name;
    private final ActiveConfiguration activeConfiguration = new ActiveConfiguration(this::onView);
    private final ConfigurationPropagation propagation;
    private long lastVersion;

    Node(String name) {
      this.name = name;
      this.propagation =
          new ConfigurationPropagation(name, timing, activeConfiguration, () -> nowMs, random);
      activeConfiguration.updateVms(VmList.getDefaultInstance());
    }

    private void onView(ConfigurationView view) {
      assertThat(view.version()).as("version of %s", name).isGreaterThan(lastVersion);
      lastVersion = view.version();
      assertThat(view.document())
          .isEqualTo(accepted.get((int) lastVersion - 1).getRecord().getDocument());
    }

    private void tick() {
      Node current = nodes.get(name);
      if (!paused.contains(name)) {
        current.perform(current.propagation.tick());
      }
      schedule(TICK_MS, this::tick);
    }

    private void perform(List<PropagationStep> steps) {
      steps.forEach(this::perform);
    }

    private void perform(PropagationStep step) {
      if (step instanceof PropagationStep.ReadTable) {
        readTable();
      } else if (step instanceof PropagationStep.SendDigest s) {
        send(s.peer(), s.digest().getSerializedSize(), p -> p.onDigest(name, s.digest()));
      } else if (step instanceof PropagationStep.SendPull s) {
        send(s.peer(), s.pull().getSerializedSize(), p -> p.onPull(name, s.pull()));
      } else if (step instanceof PropagationStep.SendDelta s) {
        send(s.peer(), s.delta().getSerializedSize(), p -> p.onDelta(s.delta()));
      } else if (step instanceof PropagationStep.SendSnapshot s) {
        send(s.peer(), s.version().getSerializedSize(), p -> p.onSnapshot(s.version()));
      }
    }

    private void readTable() {
      tableReads++;
      if (withoutTable.contains(name)) {
        return;
      }
      long startedMs = nowMs;
      int version = accepted.size();
      schedule(
          random.nextInt(MAX_DELAY_MS),
          () -> {
            if (version > 0) {
              activeConfiguration.offer(accepted.get(version - 1));
            }
            perform(propagation.onTableRead(startedMs, version));
          });
    }

    private void send(String peer, int bytes, Delivery delivery) {
      messages++;
      messageBytes += bytes;
      boolean lost = random.nextDouble() < lossRate || !isLinked(name, peer);
      if (lost || cutOff.contains(name) || cutOff.contains(peer)) {
        return;
      }
      schedule(1 + random.nextInt(MAX_DELAY_MS), () -> deliver(peer, delivery));
    }

    private void deliver(String peer, Delivery delivery) {
      if (paused.contains(peer)) {
        schedule(TICK_MS, () -> deliver(peer, delivery));
        return;
      }
      Node receiver = nodes.get(peer);
      receiver.perform(delivery.to(receiver.propagation));
    }
  }

  @FunctionalInterface
  private interface Delivery {
    List<PropagationStep> to(ConfigurationPropagation receiver);
  }
}
