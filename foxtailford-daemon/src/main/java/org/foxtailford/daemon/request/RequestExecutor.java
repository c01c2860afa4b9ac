package org.foxtailford.daemon.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.admission.AdmissionRefusal;
import org.foxtailford.core.coldstart.ColdStartAdmission;
import org.foxtailford.core.coldstart.ColdStartPermit;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.retry.FailedAttempt;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.retry.RetryVerdict;
import org.foxtailford.core.routing.AttemptOutcome;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoad;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.RequestKind;

/**
 * Executes requests by making attempts until one is answered or no further attempt is allowed.
 *
 * <p>A request is queued while all upstreams that may run it are full, and is retried as the retry
 * policy allows. If it is idempotent and has no key, it is hedged: once its answer is overdue, it
 * is sent to a second upstream. Cancelling the future of a request cancels all its attempts.
 * Thread-safe.
 */
public final class RequestExecutor {

  private final RequestRouter router;
  private final Supplier<RoutingSnapshot> snapshots;
  private final ServiceLoads loads;
  private final GuardedSender guardedSender;
  private final RelaySender relaySender;
  private final RetryPolicy retryPolicy;
  private final RetryBudget retryBudget;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final TaskScheduler scheduler;
  private final SlotQueues queues;
  private final ColdStartAdmission coldStarts;
  private final long maxWaitMs;

  /**
   * Creates an executor of requests.
   *
   * @param router chooses the target of each attempt
   * @param snapshots supplies the current routing state
   * @param loads load of the upstreams as observed by this VM
   * @param guardedSender sends the attempts that its guard allows
   * @param relaySender relays requests to other data centres and to gate holders
   * @param retryPolicy decides whether a failed attempt is retried
   * @param retryBudget limits hedges; the same instance limits retries
   * @param metrics counts retries, hedges, queued and rejected requests
   * @param clock this VM's clock
   * @param scheduler schedules hedges and queue checks
   * @param coldStarts decides whether a request may go to an upstream that may be cold
   * @param queueLimits limits of the queues for a slot
   */
  public RequestExecutor(
      RequestRouter router,
      Supplier<RoutingSnapshot> snapshots,
      ServiceLoads loads,
      GuardedSender guardedSender,
      RelaySender relaySender,
      RetryPolicy retryPolicy,
      RetryBudget retryBudget,
      RouterMetrics metrics,
      MillisClock clock,
      TaskScheduler scheduler,
      ColdStartAdmission coldStarts,
      QueueLimits queueLimits) {
    this.router = Assert.notNull(router, "router");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.loads = Assert.notNull(loads, "loads");
    this.guardedSender = Assert.notNull(guardedSender, "guardedSender");
    this.relaySender = Assert.notNull(relaySender, "relaySender");
    this.retryPolicy = Assert.notNull(retryPolicy, "retryPolicy");
    this.retryBudget = Assert.notNull(retryBudget, "retryBudget");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.queues =
        new SlotQueues(queueLimits.capacity(), clock, scheduler, this::attempt, this::shed);
    this.coldStarts = Assert.notNull(coldStarts, "coldStarts");
    this.maxWaitMs = queueLimits.maxWaitMs();
  }

  /**
   * Where an attempt goes.
   *
   * @param ownership present for keyed services
   */
  private record AttemptTarget(
      ServiceView service,
      RequestKind kind,
      Upstream upstream,
      Optional<UpstreamSender.Ownership> ownership) {

    boolean isKeyed() {
      return ownership.isPresent();
    }

    String queueName() {
      String name = service.definition().getName();
      return isKeyed() ? name + "/" + upstream.name() : name;
    }
  }

  /**
   * Executes a request.
   *
   * @return the upstream's whole answer; completes exceptionally with a result code if there is
   *     none
   */
  CompletableFuture<HttpAnswer> run(HttpExchange exchange, RequestAttributes attributes) {
    RequestCall call = new RequestCall(exchange, attributes);
    call.answer()
        .whenComplete(
            (received, failure) -> {
              if (call.answer().isCancelled()) {
                metrics.abandoned(attributes.service());
                queues.remove(call);
              }
            });
    attempt(call);
    return call.answer();
  }

  private void attempt(RequestCall call) {
    if (call.answer().isDone()) {
      return;
    }
    RouteDecision decision = decide(call);
    if (decision instanceof RouteDecision.ToDataCentre home) {
      relay(call, home.dataCentre());
    } else if (decision instanceof RouteDecision.Wait wait) {
      enqueue(call, wait.service().definition().getName(), wait.kind());
    } else if (decision instanceof RouteDecision.Refuse refuse) {
      Throwable refusal = new ResultCodeException(refuse.code(), refuse.message());
      call.answer().completeExceptionally(call.lastFailure().orElse(refusal));
    } else {
      attempt(call, toTarget(decision));
    }
  }

  private void attempt(RequestCall call, AttemptTarget target) {
    String name = target.upstream().name();
    Optional<ColdStartPermit> permit = coldStarts.tryStart(name, clock.nowMs());
    if (permit.isEmpty()) {
      onGateClosed(call, target);
    } else if (!send(call, target, permit.get())) {
      coldStarts.recordEnd(permit.get(), true);
      enqueue(call, target.queueName(), target.kind());
    }
  }

  private void onGateClosed(RequestCall call, AttemptTarget target) {
    String name = target.upstream().name();
    metrics.coldGateClosed(call.attributes().service());
    call.recordFailure(
        new ResultCodeException(ResultCode.UPSTREAM_COLD, name + " is in slow start"));
    if (target.isKeyed()) {
      relayToGateHolder(call, name);
    } else if (!call.excluded().add(name)) {
      call.answer().completeExceptionally(call.lastFailure().orElseThrow());
    } else {
      attempt(call);
    }
  }

  private void relayToGateHolder(RequestCall call, String upstream) {
    Optional<CompletableFuture<HttpAnswer>> relayed =
        relaySender.relayToGateHolder(call.exchange(), call.attributes(), upstream);
    if (relayed.isEmpty()) {
      call.answer().completeExceptionally(call.lastFailure().orElseThrow());
      return;
    }
    call.addAttempt(relayed.get());
    relayed.get().whenComplete((received, failure) -> complete(call, received, failure));
  }

  private RouteDecision decide(RequestCall call) {
    return router.decide(call.attributes(), snapshots.get(), call.excluded(), clock.nowMs());
  }

  private static AttemptTarget toTarget(RouteDecision decision) {
    if (decision instanceof RouteDecision.ToOwner owner) {
      return new AttemptTarget(
          owner.service(),
          owner.kind(),
          owner.upstream(),
          Optional.of(new UpstreamSender.Ownership(owner.keyHash(), owner.fence())));
    }
    RouteDecision.ToAny any = (RouteDecision.ToAny) decision;
    return new AttemptTarget(any.service(), any.kind(), any.upstream(), Optional.empty());
  }

  private void relay(RequestCall call, String dataCentre) {
    CompletableFuture<HttpAnswer> relayed =
        relaySender.relay(call.exchange(), call.attributes(), dataCentre);
    call.addAttempt(relayed);
    relayed.whenComplete((received, failure) -> complete(call, received, failure));
  }

  private static void complete(RequestCall call, HttpAnswer received, Throwable failure) {
    if (failure == null) {
      call.answer().complete(received);
    } else {
      call.recordFailure(failure);
      call.answer().completeExceptionally(call.lastFailure().orElse(failure));
    }
  }

  private void enqueue(RequestCall call, String queue, RequestKind kind) {
    if (!call.hasWaited()) {
      metrics.queued(call.attributes().service());
    }
    queues.add(queue, call, kind.getWorth(), call.queueDeadlineMs(clock.nowMs(), maxWaitMs));
  }

  private void shed(RequestCall call, AdmissionRefusal reason) {
    metrics.limited(reason);
    boolean expired = clock.nowMs() >= call.attributes().deadlineMs();
    ResultCode code = expired ? ResultCode.DEADLINE_EXPIRED : ResultCode.OVERLOADED;
    Throwable refusal = new ResultCodeException(code, "no upstream had a free slot in time");
    call.answer().completeExceptionally(call.lastFailure().orElse(refusal));
  }

  private boolean send(RequestCall call, AttemptTarget target, ColdStartPermit permit) {
    ServiceLoad load = loads.of(target.service());
    String name = target.upstream().name();
    long startedMs = clock.nowMs();
    if (!load.tryStart(name, target.isKeyed(), startedMs)) {
      return false;
    }
    if (!target.isKeyed()) {
      call.excluded().add(name);
    }
    int number = call.nextAttemptNumber();
    CompletableFuture<HttpAnswer> sent =
        guardedSender
            .guard()
            .run(
                call.exchange(),
                call.attributes(),
                target.kind().getIdempotent(),
                name,
                () -> sendToUpstream(call, target, permit));
    call.addAttempt(sent);
    Runnable cancelOverdue =
        scheduler.schedule(() -> onOverdue(call, target, sent), load.overdueThresholdMs());
    sent.whenComplete(
        (received, failure) -> {
          cancelOverdue.run();
          long nowMs = clock.nowMs();
          recordPermitEnd(permit, failure, nowMs);
          load.recordEnd(name, outcomeOf(failure), nowMs - startedMs, nowMs);
          queues.onSlotReleased(target.queueName());
          onEnd(call, target, sent, number, received, failure);
        });
    return true;
  }

  private CompletableFuture<HttpAnswer> sendToUpstream(
      RequestCall call, AttemptTarget target, ColdStartPermit permit) {
    long remainingMs = call.attributes().deadlineMs() - clock.nowMs();
    if (remainingMs <= 0) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(ResultCode.DEADLINE_EXPIRED, "the deadline has passed"));
    }
    long timeoutMs = Math.min(remainingMs, permit.deadlineMs() - clock.nowMs());
    if (timeoutMs <= 0) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(
              ResultCode.UPSTREAM_UNREACHABLE, "the time of a request in slow start is over"));
    }
    return guardedSender
        .sender()
        .send(
            target.upstream(),
            call.exchange(),
            target.ownership(),
            permit.requiredBootId(),
            timeoutMs);
  }

  private void recordPermitEnd(ColdStartPermit permit, Throwable failure, long nowMs) {
    coldStarts.recordEnd(permit, isKnownEnded(failure));
    if (failure != null && ResultCodeException.codeOf(failure) == ResultCode.UPSTREAM_COLD) {
      coldStarts.onColdRefusal(permit.upstream(), nowMs);
    }
  }

  private static boolean isKnownEnded(Throwable failure) {
    return failure == null || ResultCodeException.codeOf(failure).effect() == Effect.NOT_RUN;
  }

  private static AttemptOutcome outcomeOf(Throwable failure) {
    if (failure == null) {
      return AttemptOutcome.ANSWERED;
    }
    switch (ResultCodeException.codeOf(failure)) {
      case UPSTREAM_SHED:
      case UPSTREAM_COLD:
        return AttemptOutcome.REJECTED_FULL;
      case NO_UPSTREAM:
        return AttemptOutcome.DRAINING;
      default:
        return AttemptOutcome.INCONCLUSIVE;
    }
  }

  private void onOverdue(
      RequestCall call, AttemptTarget target, CompletableFuture<HttpAnswer> sent) {
    if (sent.isDone() || call.answer().isDone()) {
      return;
    }
    loads.of(target.service()).recordOverdue(target.upstream().name(), clock.nowMs());
    boolean isHedgeable =
        target.kind().getIdempotent() && !target.isKeyed() && call.attemptCount() == 1;
    if (!isHedgeable || !(decide(call) instanceof RouteDecision.ToAny other)) {
      return;
    }
    Optional<ColdStartPermit> permit = coldStarts.tryStart(other.upstream().name(), clock.nowMs());
    if (permit.isEmpty()) {
      return;
    }
    if (retryBudget.tryTake(clock.nowMs()) && send(call, toTarget(other), permit.get())) {
      metrics.hedge(call.attributes().service());
    } else {
      coldStarts.recordEnd(permit.get(), true);
    }
  }

  private void onEnd(
      RequestCall call,
      AttemptTarget target,
      CompletableFuture<HttpAnswer> sent,
      int number,
      HttpAnswer received,
      Throwable failure) {
    boolean allEnded = call.removeAttempt(sent);
    if (call.answer().isDone()) {
      return;
    }
    if (failure == null) {
      retryBudget.recordSuccess();
      boolean isFirst = call.answer().complete(received);
      if (isFirst && number > 1 && call.lastFailure().isEmpty()) {
        metrics.hedgeWon(call.attributes().service());
      }
      return;
    }
    call.recordFailure(failure);
    if (allEnded) {
      retryOrFail(call, target, failure);
    }
  }

  private void retryOrFail(RequestCall call, AttemptTarget target, Throwable failure) {
    long nowMs = clock.nowMs();
    ResultCode code = ResultCodeException.codeOf(failure);
    RetryVerdict verdict =
        retryPolicy.decide(
            new FailedAttempt(
                code,
                target.kind().getIdempotent(),
                target.isKeyed(),
                call.attemptCount(),
                call.attributes().deadlineMs() - nowMs),
            nowMs);
    if (verdict == RetryVerdict.RETRY) {
      metrics.retry(code);
      attempt(call);
    } else {
      metrics.retryDenied(code, verdict);
      call.answer().completeExceptionally(call.lastFailure().orElse(failure));
    }
  }
}
