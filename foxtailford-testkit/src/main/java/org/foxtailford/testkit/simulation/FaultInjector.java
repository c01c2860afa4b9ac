package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.foxtailford.core.util.Assert;

/** Enters faults and their ends into the event queue of a system. */
final class FaultInjector {

  private static final long RECOVERY_MS = 3500;
  private static final int MAX_LOSS_PERCENT = 40;
  private static final int MAX_DUPLICATE_PERCENT = 50;
  private static final int MAX_EXTRA_DELAY_MS = 900;

  private final OwnershipSystem system;
  private final RandomGenerator random;
  private final Trace trace;

  FaultInjector(OwnershipSystem system, RandomGenerator random, Trace trace) {
    this.system = Assert.notNull(system, "system");
    this.random = Assert.notNull(random, "random");
    this.trace = Assert.notNull(trace, "trace");
  }

  /** Enters one fault at a random target. */
  void inject(FaultKind kind, long atMs, long lengthMs) {
    int candidate = random.nextInt(system.candidates().size());
    int upstream = random.nextInt(system.upstreams().size());
    switch (kind) {
      case CANDIDATE_PAUSED:
        pause(system.candidates().get(candidate), atMs, lengthMs);
        break;
      case CANDIDATE_LOST:
        lose(system.candidates().get(candidate), atMs, lengthMs);
        break;
      case UPSTREAM_PAUSED:
        pause(system.upstreams().get(upstream), atMs, lengthMs);
        break;
      case UPSTREAM_LOST:
        lose(system.upstreams().get(upstream), atMs, lengthMs);
        break;
      case UPSTREAM_RESTARTED:
        lose(system.upstreams().get(upstream), atMs, 0);
        break;
      case TABLE_DOWN:
        lose(system.table(), atMs, lengthMs);
        break;
      case TABLE_SLOW:
        pause(system.table(), atMs, lengthMs);
        break;
      case TABLE_ANSWERS_LOST:
        cut(List.of(system.table()), system.candidates(), atMs, lengthMs);
        break;
      case CANDIDATE_CUT_FROM_TABLE:
        cutBothWays(
            List.of(system.table()), List.of(system.candidates().get(candidate)), atMs, lengthMs);
        break;
      case CANDIDATE_CUT_FROM_UPSTREAM:
        cutBothWays(
            List.of(system.upstreams().get(upstream)),
            List.of(system.candidates().get(candidate)),
            atMs,
            lengthMs);
        break;
      case UPSTREAM_ANSWERS_LOST:
        cut(List.of(system.upstreams().get(upstream)), system.candidates(), atMs, lengthMs);
        break;
      case PARTITION:
        partition(atMs, lengthMs);
        break;
      case MESSAGES_DISTURBED:
        disturb(atMs, lengthMs);
        break;
      default:
        throw new IllegalArgumentException(kind.name());
    }
  }

  void pause(SimulatedNode node, long atMs, long lengthMs) {
    enter(
        atMs,
        lengthMs,
        !isTable(List.of(node)),
        node.name() + " paused",
        node::pause,
        node::resume);
  }

  void lose(SimulatedNode node, long atMs, long lengthMs) {
    enter(atMs, lengthMs, !isTable(List.of(node)), node.name() + " lost", node::lose, node::start);
  }

  private void partition(long atMs, long lengthMs) {
    List<SimulatedNode> all = new ArrayList<>(system.candidates());
    all.addAll(system.upstreams());
    all.add(system.table());
    List<SimulatedNode> left = new ArrayList<>();
    List<SimulatedNode> right = new ArrayList<>();
    all.forEach(node -> (random.nextBoolean() ? left : right).add(node));
    cutBothWays(left, right, atMs, lengthMs);
  }

  private void disturb(long atMs, long lengthMs) {
    int loss = random.nextInt(MAX_LOSS_PERCENT);
    int duplicates = random.nextInt(MAX_DUPLICATE_PERCENT);
    int delayMs = 1 + random.nextInt(MAX_EXTRA_DELAY_MS);
    SimulatedNetwork network = system.network();
    enter(
        atMs,
        lengthMs,
        true,
        "messages disturbed",
        () -> network.disturb(loss, duplicates, delayMs),
        () -> network.disturb(0, 0, 0));
  }

  void cutBothWays(
      List<? extends SimulatedNode> left,
      List<? extends SimulatedNode> right,
      long atMs,
      long lengthMs) {
    cut(left, right, atMs, lengthMs);
    cut(right, left, atMs, lengthMs);
  }

  void cut(
      List<? extends SimulatedNode> from,
      List<? extends SimulatedNode> to,
      long atMs,
      long lengthMs) {
    enter(
        atMs,
        lengthMs,
        !isTable(from) && !isTable(to),
        "cut from " + names(from) + " to " + names(to),
        () -> setCut(from, to, true),
        () -> setCut(from, to, false));
  }

  private boolean isTable(List<? extends SimulatedNode> nodes) {
    return nodes.equals(List.of(system.table()));
  }

  private static List<String> names(List<? extends SimulatedNode> nodes) {
    return nodes.stream().map(SimulatedNode::name).toList();
  }

  private void setCut(
      List<? extends SimulatedNode> from, List<? extends SimulatedNode> to, boolean cut) {
    from.forEach(a -> to.forEach(b -> system.network().setCut(a.name(), b.name(), cut)));
  }

  private void enter(
      long atMs, long lengthMs, boolean disturbsGrants, String text, Runnable begin, Runnable end) {
    EventQueue queue = system.queue();
    if (disturbsGrants) {
      system.checker().noteDisturbedBetween(atMs, atMs + lengthMs + RECOVERY_MS);
    }
    queue.schedule(
        atMs - queue.nowMs(),
        () -> {
          trace.add(atMs, "%s for %d ms", text, lengthMs);
          begin.run();
        });
    queue.schedule(
        atMs + lengthMs - queue.nowMs(),
        () -> {
          trace.add(atMs + lengthMs, "end of: %s", text);
          end.run();
        });
  }
}
