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

/** State of one request while attempts are made for it. Thread-safe. */
final class RequestCall {

  private final HttpExchange exchange;
  private final RequestAttributes attributes;
  private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
  private final Set<String> excluded = ConcurrentHashMap.newKeySet();
  private final List<CompletableFuture<?>> running = new CopyOnWriteArrayList<>();
  private final AtomicInteger attempts = new AtomicInteger();
  private volatile @Nullable Throwable lastFailure;
  private volatile long waitUntilMs = Long.MIN_VALUE;

  RequestCall(HttpExchange exchange, RequestAttributes attributes) {
    this.exchange = exchange;
    this.attributes = attributes;
    answer.whenComplete((received, failure) -> cancelRunning());
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

  /** Returns the upstreams that already have or had an attempt. */
  Set<String> excluded() {
    return excluded;
  }

  int attempts() {
    return attempts.get();
  }

  /** Notes an attempt that was sent. */
  void started(CompletableFuture<?> attempt) {
    running.add(attempt);
    if (answer.isDone()) {
      cancelRunning();
    }
  }

  /** Counts an attempt and returns its number, from 1. */
  int nextAttempt() {
    return attempts.incrementAndGet();
  }

  /**
   * Notes the end of an attempt.
   *
   * @return whether it was the last one running
   */
  synchronized boolean ended(CompletableFuture<?> attempt) {
    running.remove(attempt);
    return running.isEmpty();
  }

  /**
   * Notes the failure of an attempt. Once an attempt may have run, a later one that did not run
   * does not change what the caller is told.
   */
  synchronized void failed(Throwable failure) {
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

  /** Tells whether it has waited for a slot before. */
  boolean hasWaited() {
    return waitUntilMs != Long.MIN_VALUE;
  }

  /** Returns when it stops waiting for a slot, counted from its first wait. */
  long waitUntil(long nowMs, long limitMs) {
    if (waitUntilMs == Long.MIN_VALUE) {
      waitUntilMs = Math.min(attributes.deadlineMs(), nowMs + limitMs);
    }
    return waitUntilMs;
  }

  private void cancelRunning() {
    running.forEach(attempt -> attempt.cancel(false));
  }
}
