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
 * Makes attempts of requests until one gives the answer or no further one is allowed.
 *
 * <p>A request waits while every upstream that may run it is full, is retried by the retry policy,
 * and, if it is idempotent and has no key, is sent to a second upstream once its answer is overdue.
 * To cancel the future of a request gives up all its attempts. Thread-safe.
 */
public final class RequestAttempts {

  private final RequestRouter router;
  private final Supplier<RoutingSnapshot> snapshots;
  private final ServiceLoads loads;
  private final GuardedSender sender;
  private final RelaySender relays;
  private final RetryPolicy retries;
  private final RetryBudget budget;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final TaskScheduler tasks;
  private final SlotQueues queues;
  private final ColdStartAdmission coldStarts;
  private final long queueTimeMs;

  /**
   * Creates the attempts.
   *
   * @param router decides where each attempt goes
   * @param snapshots gives the state to decide on
   * @param loads what this VM has seen of the upstreams
   * @param sender sends to upstreams what its guard lets through
   * @param relays sends to other data centres
   * @param retries decides what follows a failed attempt
   * @param budget pays for hedges; the same that pays for retries
   * @param metrics counts retries, hedges and waits
   * @param clock this VM's clock
   * @param tasks runs hedges and rechecks
   * @param coldStarts decides whether upstreams that may be cold take a request
   * @param waiting limits of the queues
   */
  public RequestAttempts(
      RequestRouter router,
      Supplier<RoutingSnapshot> snapshots,
      ServiceLoads loads,
      GuardedSender sender,
      RelaySender relays,
      RetryPolicy retries,
      RetryBudget budget,
      RouterMetrics metrics,
      MillisClock clock,
      TaskScheduler tasks,
      ColdStartAdmission coldStarts,
      QueueLimits waiting) {
    this.router = Assert.notNull(router, "router");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.loads = Assert.notNull(loads, "loads");
    this.sender = Assert.notNull(sender, "sender");
    this.relays = Assert.notNull(relays, "relays");
    this.retries = Assert.notNull(retries, "retries");
    this.budget = Assert.notNull(budget, "budget");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
    this.tasks = Assert.notNull(tasks, "tasks");
    this.queues = new SlotQueues(waiting.capacity(), clock, tasks, this::attempt, this::shed);
    this.coldStarts = Assert.notNull(coldStarts, "coldStarts");
    this.queueTimeMs = waiting.timeMs();
  }

  /** One attempt that was decided on. */
  private record Target(
      ServiceView service,
      RequestKind kind,
      Upstream upstream,
      Optional<UpstreamSender.Ownership> ownership) {

    boolean keyed() {
      return ownership.isPresent();
    }

    String queueName() {
      String name = service.definition().getName();
      return keyed() ? name + "/" + upstream.name() : name;
    }
  }

  /**
   * Runs a request.
   *
   * @return the upstream's whole answer; fails with a result code otherwise
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
      attempt(call, target(decision));
    }
  }

  private void attempt(RequestCall call, Target target) {
    String name = target.upstream().name();
    Optional<ColdStartPermit> ticket = coldStarts.tryStart(name, clock.nowMs());
    if (ticket.isEmpty()) {
      refusedCold(call, target);
    } else if (!send(call, target, ticket.get())) {
      coldStarts.recordEnd(ticket.get(), true);
      enqueue(call, target.queueName(), target.kind());
    }
  }

  private void refusedCold(RequestCall call, Target target) {
    String name = target.upstream().name();
    metrics.coldGateClosed(call.attributes().service());
    call.failed(new ResultCodeException(ResultCode.UPSTREAM_COLD, name + " is in slow start"));
    if (target.keyed()) {
      relayToGateHolder(call, name);
    } else if (!call.excluded().add(name)) {
      call.answer().completeExceptionally(call.lastFailure().orElseThrow());
    } else {
      attempt(call);
    }
  }

  private void relayToGateHolder(RequestCall call, String upstream) {
    Optional<CompletableFuture<HttpAnswer>> relayed =
        relays.relayToGateHolder(call.exchange(), call.attributes(), upstream);
    if (relayed.isEmpty()) {
      call.answer().completeExceptionally(call.lastFailure().orElseThrow());
      return;
    }
    call.started(relayed.get());
    relayed.get().whenComplete((received, failure) -> complete(call, received, failure));
  }

  private RouteDecision decide(RequestCall call) {
    return router.decide(call.attributes(), snapshots.get(), call.excluded(), clock.nowMs());
  }

  private static Target target(RouteDecision decision) {
    if (decision instanceof RouteDecision.ToOwner owner) {
      return new Target(
          owner.service(),
          owner.kind(),
          owner.upstream(),
          Optional.of(new UpstreamSender.Ownership(owner.keyHash(), owner.fence())));
    }
    RouteDecision.ToAny any = (RouteDecision.ToAny) decision;
    return new Target(any.service(), any.kind(), any.upstream(), Optional.empty());
  }

  private void relay(RequestCall call, String dataCentre) {
    CompletableFuture<HttpAnswer> relayed =
        relays.relay(call.exchange(), call.attributes(), dataCentre);
    call.started(relayed);
    relayed.whenComplete((received, failure) -> complete(call, received, failure));
  }

  private static void complete(RequestCall call, HttpAnswer received, Throwable failure) {
    if (failure == null) {
      call.answer().complete(received);
    } else {
      call.failed(failure);
      call.answer().completeExceptionally(call.lastFailure().orElse(failure));
    }
  }

  private void enqueue(RequestCall call, String queue, RequestKind kind) {
    if (!call.hasWaited()) {
      metrics.queued(call.attributes().service());
    }
    queues.add(queue, call, kind.getWorth(), call.waitUntil(clock.nowMs(), queueTimeMs));
  }

  private void shed(RequestCall call, AdmissionRefusal reason) {
    metrics.limited(reason);
    boolean expired = clock.nowMs() >= call.attributes().deadlineMs();
    ResultCode code = expired ? ResultCode.DEADLINE_EXPIRED : ResultCode.OVERLOADED;
    Throwable refusal = new ResultCodeException(code, "no upstream had a free slot in time");
    call.answer().completeExceptionally(call.lastFailure().orElse(refusal));
  }

  private boolean send(RequestCall call, Target target, ColdStartPermit ticket) {
    ServiceLoad load = loads.of(target.service());
    String name = target.upstream().name();
    long startedMs = clock.nowMs();
    if (!load.tryStart(name, target.keyed(), startedMs)) {
      return false;
    }
    if (!target.keyed()) {
      call.excluded().add(name);
    }
    int number = call.nextAttempt();
    CompletableFuture<HttpAnswer> sent =
        sender
            .guard()
            .run(
                call.exchange(),
                call.attributes(),
                target.kind().getIdempotent(),
                name,
                () -> sendNow(call, target, ticket));
    call.started(sent);
    Runnable cancelOverdue =
        tasks.schedule(() -> onOverdue(call, target, sent), load.overdueThresholdMs());
    sent.whenComplete(
        (received, failure) -> {
          cancelOverdue.run();
          long nowMs = clock.nowMs();
          endTicket(ticket, failure, nowMs);
          load.recordEnd(name, outcomeOf(failure), nowMs - startedMs, nowMs);
          queues.slotReleased(target.queueName());
          onEnd(call, target, sent, number, received, failure);
        });
    return true;
  }

  private CompletableFuture<HttpAnswer> sendNow(
      RequestCall call, Target target, ColdStartPermit ticket) {
    long remainingMs = call.attributes().deadlineMs() - clock.nowMs();
    if (remainingMs <= 0) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(ResultCode.DEADLINE_EXPIRED, "the deadline has passed"));
    }
    long timeoutMs = Math.min(remainingMs, ticket.deadlineMs() - clock.nowMs());
    if (timeoutMs <= 0) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(
              ResultCode.UPSTREAM_UNREACHABLE, "the time of a request in slow start is over"));
    }
    return sender
        .sender()
        .send(
            target.upstream(),
            call.exchange(),
            target.ownership(),
            ticket.requiredBootId(),
            timeoutMs);
  }

  private void endTicket(ColdStartPermit ticket, Throwable failure, long nowMs) {
    coldStarts.recordEnd(ticket, isOver(failure));
    if (failure != null && ResultCodeException.codeOf(failure) == ResultCode.UPSTREAM_COLD) {
      coldStarts.onColdRefusal(ticket.upstream(), nowMs);
    }
  }

  private static boolean isOver(Throwable failure) {
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

  private void onOverdue(RequestCall call, Target target, CompletableFuture<HttpAnswer> sent) {
    if (sent.isDone() || call.answer().isDone()) {
      return;
    }
    loads.of(target.service()).recordOverdue(target.upstream().name(), clock.nowMs());
    boolean mayHedge = target.kind().getIdempotent() && !target.keyed() && call.attempts() == 1;
    if (!mayHedge || !(decide(call) instanceof RouteDecision.ToAny other)) {
      return;
    }
    Optional<ColdStartPermit> ticket = coldStarts.tryStart(other.upstream().name(), clock.nowMs());
    if (ticket.isEmpty()) {
      return;
    }
    if (budget.tryTake(clock.nowMs()) && send(call, target(other), ticket.get())) {
      metrics.hedge(call.attributes().service());
    } else {
      coldStarts.recordEnd(ticket.get(), true);
    }
  }

  private void onEnd(
      RequestCall call,
      Target target,
      CompletableFuture<HttpAnswer> sent,
      int number,
      HttpAnswer received,
      Throwable failure) {
    boolean last = call.ended(sent);
    if (call.answer().isDone()) {
      return;
    }
    if (failure == null) {
      budget.recordSuccess();
      boolean won = call.answer().complete(received);
      if (won && number > 1 && call.lastFailure().isEmpty()) {
        metrics.hedgeWon(call.attributes().service());
      }
      return;
    }
    call.failed(failure);
    if (last) {
      retryOrFail(call, target, failure);
    }
  }

  private void retryOrFail(RequestCall call, Target target, Throwable failure) {
    long nowMs = clock.nowMs();
    ResultCode code = ResultCodeException.codeOf(failure);
    RetryVerdict verdict =
        retries.decide(
            new FailedAttempt(
                code,
                target.kind().getIdempotent(),
                target.keyed(),
                call.attempts(),
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
