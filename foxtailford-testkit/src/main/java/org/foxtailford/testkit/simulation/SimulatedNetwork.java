package org.foxtailford.testkit.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.foxtailford.core.util.Assert;

/** Carries calls between nodes; loses, delays, duplicates and reorders them. */
final class SimulatedNetwork {

  private static final int USUAL_DELAY_MS = 3;
  private static final int LATE_PERCENT = 30;
  private static final int FULL_PERCENT = 100;

  private final EventQueue queue;
  private final RandomGenerator random;
  private final Set<Link> cuts = new HashSet<>();
  private final Map<Link, Long> arrivals = new HashMap<>();
  private int lossPercent;
  private int duplicatePercent;
  private int extraDelayMs;

  private record Link(String from, String to) {}

  SimulatedNetwork(EventQueue queue, RandomGenerator random) {
    this.queue = Assert.notNull(queue, "queue");
    this.random = Assert.notNull(random, "random");
  }

  /** Cuts or restores messages in one direction. */
  void setCut(String from, String to, boolean cut) {
    if (cut) {
      cuts.add(new Link(from, to));
    } else {
      cuts.remove(new Link(from, to));
    }
  }

  /** Tells whether messages in one direction are cut. */
  boolean isCut(String from, String to) {
    return cuts.contains(new Link(from, to));
  }

  /** Sets how messages are disturbed from now on. */
  void disturb(int newLossPercent, int newDuplicatePercent, int newExtraDelayMs) {
    lossPercent = newLossPercent;
    duplicatePercent = newDuplicatePercent;
    extraDelayMs = newExtraDelayMs;
  }

  /**
   * Calls a node. The future fails at the timeout; the call may take effect all the same, once or
   * twice, before or after that.
   */
  <R> CompletableFuture<R> call(String from, SimulatedNode to, long timeoutMs, Supplier<R> effect) {
    CompletableFuture<R> answer = callOnce(from, to, timeoutMs, effect);
    if (chance(duplicatePercent)) {
      deliver(from, to, effect, answer);
    }
    return answer;
  }

  /** Calls a node over a connection, which never repeats a message. */
  <R> CompletableFuture<R> callOnce(
      String from, SimulatedNode to, long timeoutMs, Supplier<R> effect) {
    CompletableFuture<R> answer = new CompletableFuture<>();
    queue.schedule(timeoutMs, () -> answer.completeExceptionally(new TimeoutException(to.name())));
    deliver(from, to, effect, answer);
    return answer;
  }

  /** Calls a node, which answers later, over a connection, which never repeats a message. */
  <R> CompletableFuture<R> callLater(
      String from, SimulatedNode to, long timeoutMs, Supplier<CompletableFuture<R>> effect) {
    CompletableFuture<R> answer = new CompletableFuture<>();
    queue.schedule(timeoutMs, () -> answer.completeExceptionally(new TimeoutException(to.name())));
    sendOnce(
        from,
        to,
        () -> effect.get().thenAccept(result -> sendBack(to.name(), from, result, answer)));
    return answer;
  }

  private <R> void sendBack(String from, String to, R result, CompletableFuture<R> answer) {
    if (!lost(from, to)) {
      queue.schedule(delayMs(), () -> answer.complete(result));
    }
  }

  /** Sends a message over a connection, which keeps the order of messages and repeats none. */
  void sendOnce(String from, SimulatedNode to, Runnable effect) {
    if (!lost(from, to.name())) {
      long atMs = queue.nowMs() + delayMs();
      long inOrderMs = arrivals.merge(new Link(from, to.name()), atMs, Math::max);
      queue.schedule(inOrderMs - queue.nowMs(), () -> to.execute(effect));
    }
  }

  /** Sends a message that needs no answer. */
  void send(String from, SimulatedNode to, Runnable effect) {
    deliver(from, to, effect);
    if (chance(duplicatePercent)) {
      deliver(from, to, effect);
    }
  }

  private void deliver(String from, SimulatedNode to, Runnable effect) {
    if (!lost(from, to.name())) {
      queue.schedule(delayMs(), () -> to.execute(effect));
    }
  }

  private <R> void deliver(
      String from, SimulatedNode to, Supplier<R> effect, CompletableFuture<R> answer) {
    deliver(from, to, () -> answer(to, from, effect, answer));
  }

  private <R> void answer(
      SimulatedNode from, String to, Supplier<R> effect, CompletableFuture<R> answer) {
    sendBack(from.name(), to, effect.get(), answer);
  }

  private boolean lost(String from, String to) {
    return cuts.contains(new Link(from, to)) || chance(lossPercent);
  }

  private boolean chance(int percent) {
    return percent > 0 && random.nextInt(FULL_PERCENT) < percent;
  }

  private long delayMs() {
    int delay = random.nextInt(USUAL_DELAY_MS);
    return chance(LATE_PERCENT) && extraDelayMs > 0 ? delay + random.nextInt(extraDelayMs) : delay;
  }
}
