package org.foxtailford.testkit.simulation;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;

/** Sends requests from one start of an entry VM to other nodes. */
final class NodeCalls {

  private static final long CONNECT_MS = 1;

  private final SimulatedCandidate entry;
  private final OwnershipSystem system;

  NodeCalls(SimulatedCandidate entry, OwnershipSystem system) {
    this.entry = Assert.notNull(entry, "entry");
    this.system = Assert.notNull(system, "system");
  }

  /**
   * Sends a request; its answer comes back on the entry VM, or never if that is lost meanwhile.
   *
   * @param call the request
   * @param to where to; a lost process refuses the connection
   * @param effect what the other node does
   */
  CompletableFuture<ResultCode> send(
      RoutedCall call, SimulatedNode to, Supplier<CompletableFuture<ResultCode>> effect) {
    return send(call, to, Long.MAX_VALUE, effect);
  }

  /**
   * Sends a request with a bound on its time.
   *
   * @param call the request
   * @param to where to
   * @param maxMs longest wait for the answer, in milliseconds
   * @param effect what the other node does
   */
  CompletableFuture<ResultCode> send(
      RoutedCall call,
      SimulatedNode to,
      long maxMs,
      Supplier<CompletableFuture<ResultCode>> effect) {
    long remainingMs = Math.min(maxMs, call.attributes().deadlineMs() - entry.nowMs());
    if (remainingMs <= 0) {
      return CompletableFuture.completedFuture(ResultCode.DEADLINE_EXPIRED);
    }
    CompletableFuture<ResultCode> answer = new CompletableFuture<>();
    if (!to.running()) {
      later(CONNECT_MS, () -> answer.complete(ResultCode.UPSTREAM_UNREACHABLE));
      return answer;
    }
    system
        .network()
        .callLater(entry.name(), to, remainingMs, effect)
        .whenCompleteAsync(
            (code, failure) -> answer.complete(failure == null ? code : ResultCode.ANSWER_TIMEOUT),
            entry.control());
    return answer;
  }

  /** Runs a step of this start of the entry VM after a time. */
  void later(long delayMs, Runnable step) {
    system.queue().schedule(delayMs, () -> entry.control().execute(step));
  }
}
