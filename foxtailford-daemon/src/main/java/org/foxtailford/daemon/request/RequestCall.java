package org.foxtailford.daemon.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.jspecify.annotations.Nullable;

/** State of one request and its attempts until it is answered. Thread-safe. */
final class RequestCall {

  private final HttpExchange exchange;
  private final RequestAttributes attributes;
  private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
  private final Set<String> excluded = ConcurrentHashMap.newKeySet();
  private final List<CompletableFuture<?>> runningAttempts = new CopyOnWriteArrayList<>();
  private final AtomicInteger attemptCount = new AtomicInteger();
  private volatile @Nullable Throwable lastFailure;
  private volatile long queueDeadlineMs = Long.MIN_VALUE;

  RequestCall(HttpExchange exchange, RequestAttributes attributes) {
    this.exchange = exchange;
    this.attributes = attributes;
    answer.whenComplete((received, failure) -> cancelRunningAttempts());
  }

  HttpExchange exchange() {
    return exchange;
  }

  RequestAttributes attributes() {
    return attributes;
  }

  CompletableFuture<HttpAnswer> answer() {
    return answer;
  }

  /** Returns the names of the upstreams to which no further attempt may go; modifiable. */
  Set<String> excluded() {
    return excluded;
  }

  int attemptCount() {
    return attemptCount.get();
  }

  /** Adds an attempt or relay that was sent; cancels it at once if the request is already done. */
  void addAttempt(CompletableFuture<?> attempt) {
    runningAttempts.add(attempt);
    if (answer.isDone()) {
      cancelRunningAttempts();
    }
  }

  /** Counts an attempt and returns its number, starting at 1. */
  int nextAttemptNumber() {
    return attemptCount.incrementAndGet();
  }

  /**
   * Removes an attempt that has completed.
   *
   * @return whether no other attempt remains
   */
  synchronized boolean removeAttempt(CompletableFuture<?> attempt) {
    runningAttempts.remove(attempt);
    return runningAttempts.isEmpty();
  }

  /**
   * Records the failure of an attempt. The failure of an attempt that may have run isn't replaced
   * by a later one of an attempt that did not run: the caller must learn of the possible effect.
   */
  synchronized void recordFailure(Throwable failure) {
    boolean mayHaveRun = lastFailure().filter(RequestCall::mayHaveRun).isPresent();
    if (!mayHaveRun || mayHaveRun(failure)) {
      lastFailure = failure;
    }
  }

  private static boolean mayHaveRun(Throwable failure) {
    return ResultCodeException.codeOf(failure).effect() != Effect.NOT_RUN;
  }

  Optional<Throwable> lastFailure() {
    return Optional.ofNullable(lastFailure);
  }

  /** Returns whether the request has been queued for a slot before. */
  boolean hasWaited() {
    return queueDeadlineMs != Long.MIN_VALUE;
  }

  /**
   * Returns the time at which the request stops waiting for a slot. It is fixed by the first call,
   * so that queueing again doesn't extend the wait, and never exceeds the deadline of the request.
   */
  long queueDeadlineMs(long nowMs, long maxWaitMs) {
    if (queueDeadlineMs == Long.MIN_VALUE) {
      queueDeadlineMs = Math.min(attributes.deadlineMs(), nowMs + maxWaitMs);
    }
    return queueDeadlineMs;
  }

  private void cancelRunningAttempts() {
    runningAttempts.forEach(attempt -> attempt.cancel(false));
  }
}
