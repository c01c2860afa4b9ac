package org.foxtailford.core.idempotency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.ClaimResult;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.RecordMember;
import org.foxtailford.schema.RecordRoster;

/** Simulates entry VMs, their messages and the roster table on a virtual clock, with faults. */
final class ClaimWorld {

  static final RecordLimits LIMITS = new RecordLimits(10_000, 10_000, 1000, 1_000_000);

  private static final int ANSWER_TIMEOUT_MS = 200;
  private static final int TICK_MS = 100;

  /** Step of the protocol that is left out to check that the violation is detected. */
  enum Mutant {
    NONE,
    GRANT_EVERY_CLAIM,
    HAND_OVER_NOTHING,
    TRUST_INCOMPLETE_HOLDERS
  }

  private final EventLoop loop = new EventLoop();
  private final Random random;
  private final Map<String, Node> nodes = new TreeMap<>();
  private double lossRate;
  private boolean tableReachable = true;
  private final Mutant mutant;
  private RecordRoster table = RecordRoster.getDefaultInstance();
  private long lastBootId;

  ClaimWorld(long seed, Mutant mutant, int dataCentres, int vmsEach) {
    this.random = new Random(seed);
    this.mutant = mutant;
    for (int i = 0; i < dataCentres * vmsEach; i++) {
      start("vm" + i, "dc" + i % dataCentres);
    }
    loop.after(0, this::plan);
  }

  EventLoop loop() {
    return loop;
  }

  Random random() {
    return random;
  }

  Node randomNode() {
    List<Node> all = List.copyOf(nodes.values());
    return all.get(random.nextInt(all.size()));
  }

  void setLossRate(double rate) {
    lossRate = rate;
  }

  void setTableReachable(boolean reachable) {
    tableReachable = reachable;
  }

  /** Process of an entry VM. */
  final class Node {

    private final RecordMember member;
    private final RecordHolder holder;
    private final ClaimCoordinator coordinator;
    private int partition;
    private long pausedUntilMs;
    private RosterView view = new RosterView(RecordRoster.getDefaultInstance());

    Node(RecordMember member) {
      this.member = member;
      this.holder = new RecordHolder(member, LIMITS, loop::nowMs);
      this.coordinator =
          new ClaimCoordinator(member, () -> view, new Port(this), LIMITS, loop::nowMs);
    }

    ClaimCoordinator coordinator() {
      return coordinator;
    }

    /** Ends this process and starts another one on the same VM. */
    void replace() {
      start(member.getVm(), member.getDataCentre());
    }

    /**
     * Moves this process to a network partition. Only processes of the same partition reach each
     * other, and only those of partition 0 reach the table.
     */
    void moveToPartition(int newPartition) {
      partition = newPartition;
    }

    void pause(long durationMs) {
      pausedUntilMs = loop.nowMs() + durationMs;
    }

    private boolean isAlive() {
      return nodes.get(member.getVm()) == this;
    }

    /** Runs a task in this process: after the pause if it is paused, never if it has ended. */
    void run(Runnable task) {
      if (isAlive() && loop.nowMs() < pausedUntilMs) {
        loop.after(pausedUntilMs - loop.nowMs(), () -> run(task));
      } else if (isAlive()) {
        task.run();
      }
    }

    private void tick() {
      if (!isAlive()) {
        return;
      }
      run(this::refresh);
      loop.after(TICK_MS, this::tick);
    }

    private void refresh() {
      if (tableReachable && partition == 0 && table.getVersion() > 0) {
        RecordRoster observed = table;
        if (mutant == Mutant.TRUST_INCOMPLETE_HOLDERS) {
          observed = observed.toBuilder().clearPrevious().build();
        }
        view = new RosterView(observed);
        holder.adopt(observed);
      }
      for (RecordMember source : holder.pendingSources()) {
        fetch(source, "");
      }
    }

    private void fetch(RecordMember source, String afterKey) {
      long version = view.version();
      HandOverRequest request =
          HandOverRequest.newBuilder()
              .setRoster(view.roster())
              .setReceiver(member)
              .setAfterKey(afterKey)
              .build();
      call(this, source, node -> node.handOver(request))
          .thenAccept(page -> holder.receive(source, version, page));
    }

    private HandOverPage handOver(HandOverRequest request) {
      HandOverPage page = holder.handOver(request);
      return mutant == Mutant.HAND_OVER_NOTHING ? page.toBuilder().clearRecords().build() : page;
    }
  }

  private final class Port implements ClaimPort {

    private final Node from;

    Port(Node from) {
      this.from = from;
    }

    @Override
    public CompletableFuture<ClaimAnswer> claim(RecordMember holder, ClaimRequest request) {
      if (mutant == Mutant.GRANT_EVERY_CLAIM) {
        ClaimResult granted = ClaimResult.CLAIM_RESULT_GRANTED;
        return CompletableFuture.completedFuture(
            ClaimAnswer.newBuilder().setResult(granted).build());
      }
      return call(from, holder, node -> node.holder.claim(request));
    }

    @Override
    public void reportEnd(RecordMember holder, ClaimEnd end) {
      deliver(from, holder, node -> node.holder.recordEnd(end));
    }
  }

  private <T> CompletableFuture<T> call(Node from, RecordMember to, Function<Node, T> operation) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    deliver(
        from,
        to,
        node -> {
          T value = operation.apply(node);
          deliver(node, from.member, back -> answer.complete(value));
        });
    Supplier<Exception> timeout = () -> new IllegalStateException("no answer");
    loop.after(
        ANSWER_TIMEOUT_MS, () -> from.run(() -> answer.completeExceptionally(timeout.get())));
    return answer;
  }

  private void deliver(Node from, RecordMember to, Consumer<Node> action) {
    int copies = random.nextDouble() < lossRate ? 2 * random.nextInt(2) : 1;
    for (int i = 0; i < copies; i++) {
      boolean late = random.nextDouble() < lossRate;
      loop.after(1 + random.nextInt(late ? 2000 : 20), () -> arrive(from, to, action));
    }
  }

  private void arrive(Node from, RecordMember to, Consumer<Node> action) {
    Node target = nodes.get(to.getVm());
    if (target != null && target.member.equals(to) && target.partition == from.partition) {
      target.run(() -> action.accept(target));
    }
  }

  /** Starts a process on a VM, which replaces an earlier one. */
  private void start(String vm, String dataCentre) {
    RecordMember member =
        RecordMember.newBuilder()
            .setVm(vm)
            .setDataCentre(dataCentre)
            .setBootId(++lastBootId)
            .build();
    Node node = new Node(member);
    nodes.put(vm, node);
    loop.after(random.nextInt(TICK_MS), node::tick);
  }

  private void plan() {
    Set<RecordMember> settled = new HashSet<>();
    List<RecordMember> running = new ArrayList<>();
    for (Node node : nodes.values()) {
      running.add(node.member);
      boolean connected = node.partition == 0 && loop.nowMs() >= node.pausedUntilMs;
      if (connected
          && node.holder.rosterVersion() == table.getVersion()
          && node.holder.isSettled()) {
        settled.add(node.member);
      }
    }
    running.sort(Comparator.comparing(RecordMember::getVm));
    Optional<RecordRoster> next = RosterPlanner.next(table, running, settled);
    if (tableReachable && next.isPresent()) {
      table = next.get();
    }
    loop.after(TICK_MS, this::plan);
  }
}
