package org.foxtailford.testkit.simulation;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;

/**
 * Requests without a key at one upstream: its slots, its refusals, and what makes it fail.
 *
 * <p>After a start the upstream is cold for some time. A cold one that runs more requests at once
 * than it can bear, or any one that runs a poison request, is lost with all its requests and starts
 * again.
 */
final class SimulatedWork {

  static final int SLOTS = 4;
  static final int COLD_SLOTS = 2;
  static final long WARM_UP_MS = 1500;

  private static final int MIN_RUN_MS = 8;
  private static final int MAX_RUN_MS = 30;
  private static final int SLOW_FACTOR = 20;
  private static final long POISON_RUN_MS = 5;
  private static final long RESTART_MS = 800;

  private final SimulatedUpstream upstream;
  private final OwnershipSystem system;
  private final RequestLedger ledger;
  private final RandomGenerator random;
  private final Set<CompletableFuture<ResultCode>> running = new LinkedHashSet<>();
  private long startedMs = -WARM_UP_MS;
  private boolean slow;
  private boolean full;
  private boolean draining;

  SimulatedWork(
      SimulatedUpstream upstream,
      OwnershipSystem system,
      RequestLedger ledger,
      RandomGenerator random) {
    this.upstream = Assert.notNull(upstream, "upstream");
    this.system = Assert.notNull(system, "system");
    this.ledger = Assert.notNull(ledger, "ledger");
    this.random = Assert.notNull(random, "random");
  }

  /** Makes it a straggler, or ends that. */
  void setSlow(boolean value) {
    slow = value;
  }

  /** Lets other users fill its slots, or ends that. */
  void setFull(boolean value) {
    full = value;
  }

  /** Makes it refuse new work because it leaves, or ends that. */
  void setDraining(boolean value) {
    draining = value;
  }

  private boolean cold() {
    return system.queue().nowMs() < startedMs + WARM_UP_MS;
  }

  /**
   * Takes a request; the answer comes when it has run, or when it is refused or lost.
   *
   * @param requestId id of the request
   * @param bootId start to which the connection of the request belongs
   * @param poison whether the request crashes this upstream
   */
  CompletableFuture<ResultCode> take(String requestId, long bootId, boolean poison) {
    if (bootId != upstream.starts()) {
      return CompletableFuture.completedFuture(ResultCode.OUTCOME_UNKNOWN);
    }
    ledger.arrived(requestId, upstream, system.queue().nowMs());
    if (draining) {
      return CompletableFuture.completedFuture(ResultCode.NO_UPSTREAM);
    }
    if (full || running.size() >= SLOTS) {
      return CompletableFuture.completedFuture(ResultCode.UPSTREAM_SHED);
    }
    ledger.ran(requestId, upstream, system.queue().nowMs());
    CompletableFuture<ResultCode> answer = new CompletableFuture<>();
    running.add(answer);
    if (cold() && running.size() > COLD_SLOTS) {
      ledger.overloadedCold(upstream, running.size(), system.queue().nowMs());
      fail();
    } else {
      long runMs = poison ? POISON_RUN_MS : runMs();
      system.queue().schedule(runMs, () -> upstream.execute(() -> end(answer, poison)));
    }
    return answer;
  }

  private long runMs() {
    long usualMs = random.nextInt(MIN_RUN_MS, MAX_RUN_MS);
    return slow ? usualMs * SLOW_FACTOR : usualMs;
  }

  private void end(CompletableFuture<ResultCode> answer, boolean poison) {
    if (!running.contains(answer)) {
      return;
    }
    if (poison) {
      ledger.crashed(upstream, system.queue().nowMs());
      fail();
    } else {
      running.remove(answer);
      answer.complete(ResultCode.OK);
    }
  }

  private void fail() {
    upstream.lose();
    system.queue().schedule(RESTART_MS, upstream::startIfLost);
  }

  /** Begins to be cold. */
  void started() {
    startedMs = system.queue().nowMs();
  }

  /** Breaks the connections of all requests, since the process is gone. */
  void lost() {
    Set<CompletableFuture<ResultCode>> broken = new LinkedHashSet<>(running);
    running.clear();
    broken.forEach(answer -> answer.complete(ResultCode.OUTCOME_UNKNOWN));
  }
}
