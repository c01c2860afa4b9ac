package org.foxtailford.testkit.simulation;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.coldstart.ColdStartPermit;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.retry.FailedAttempt;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.retry.RetryVerdict;
import org.foxtailford.core.routing.AttemptOutcome;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoad;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.util.Assert;

/** Attempts of requests without a key on one start of one entry VM, with waits and hedges. */
final class UnkeyedAttempts {

  private static final long QUEUE_TIME_MS = 200;
  private static final long RECHECK_MS = 10;

  private final SimulatedCandidate entry;
  private final OwnershipSystem system;
  private final Supplier<RoutingSnapshot> snapshots;
  private final RequestRouter router;
  private final ServiceLoads loads;
  private final RetryBudget budget;
  private final RetryPolicy policy;
  private final SimulatedGuard guard;
  private final SimulatedGates gates;
  private final NodeCalls calls;

  UnkeyedAttempts(
      SimulatedCandidate entry,
      OwnershipSystem system,
      Supplier<RoutingSnapshot> snapshots,
      RequestRouter router,
      ServiceLoads loads,
      RetryBudget budget,
      RetryPolicy policy,
      SimulatedGuard guard,
      SimulatedGates gates,
      NodeCalls calls) {
    this.entry = Assert.notNull(entry, "entry");
    this.system = Assert.notNull(system, "system");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.router = Assert.notNull(router, "router");
    this.loads = Assert.notNull(loads, "loads");
    this.budget = Assert.notNull(budget, "budget");
    this.policy = Assert.notNull(policy, "policy");
    this.guard = Assert.notNull(guard, "guard");
    this.gates = Assert.notNull(gates, "gates");
    this.calls = Assert.notNull(calls, "calls");
  }

  /** Makes attempts until the request is answered or no further one is allowed. */
  void attempt(RoutedCall call) {
    if (call.result().isDone()) {
      return;
    }
    RouteDecision decision = decide(call);
    if (decision instanceof RouteDecision.Refuse refuse) {
      call.refuse(refuse.code());
    } else if (decision instanceof RouteDecision.Wait) {
      await(call);
    } else {
      attempt(call, (RouteDecision.ToAny) decision);
    }
  }

  private void attempt(RoutedCall call, RouteDecision.ToAny any) {
    String name = any.upstream().name();
    Optional<ColdStartPermit> ticket = gates.tryStart(name);
    if (ticket.isEmpty()) {
      call.failed(ResultCode.UPSTREAM_COLD);
      call.excluded().add(name);
      attempt(call);
    } else if (!send(call, any.service(), ticket.get())) {
      gates.ended(ticket.get(), ResultCode.OVERLOADED);
      await(call);
    }
  }

  private RouteDecision decide(RoutedCall call) {
    return router.decide(call.attributes(), snapshots.get(), call.excluded(), entry.nowMs());
  }

  private void await(RoutedCall call) {
    if (call.mayWait(entry.nowMs(), QUEUE_TIME_MS)) {
      calls.later(RECHECK_MS, () -> attempt(call));
    } else {
      call.fail(ResultCode.OVERLOADED);
    }
  }

  private boolean send(RoutedCall call, ServiceView service, ColdStartPermit ticket) {
    ServiceLoad load = loads.of(service);
    String name = ticket.upstream();
    long startedMs = entry.nowMs();
    if (!load.tryStart(name, false, startedMs)) {
      return false;
    }
    call.excluded().add(name);
    call.started();
    CompletableFuture<ResultCode> sent = guard.run(call, name, () -> transmit(call, ticket));
    calls.later(load.overdueThresholdMs(), () -> onOverdue(call, service, name, sent));
    sent.thenAccept(
        code -> {
          gates.ended(ticket, code);
          long tookMs = system.variant().seesLatency() ? entry.nowMs() - startedMs : 1;
          load.recordEnd(name, outcomeOf(code), tookMs, entry.nowMs());
          onEnd(call, code);
        });
    return true;
  }

  private CompletableFuture<ResultCode> transmit(RoutedCall call, ColdStartPermit ticket) {
    SimulatedUpstream upstream = system.upstream(ticket.upstream());
    boolean poison = call.traits().poison();
    return calls.send(
        call,
        upstream,
        ticket.maxTimeoutMs(),
        () -> upstream.work().take(call.id(), ticket.bootId(), poison));
  }

  private static AttemptOutcome outcomeOf(ResultCode code) {
    switch (code) {
      case OK:
        return AttemptOutcome.ANSWERED;
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
      RoutedCall call, ServiceView service, String name, CompletableFuture<ResultCode> sent) {
    boolean over = sent.isDone() || call.result().isDone();
    if (over || !system.variant().seesLatency()) {
      return;
    }
    loads.of(service).recordOverdue(name, entry.nowMs());
    boolean mayHedge = call.idempotent() && call.attempts() == 1;
    if (mayHedge && decide(call) instanceof RouteDecision.ToAny other) {
      hedge(call, other);
    }
  }

  private void hedge(RoutedCall call, RouteDecision.ToAny other) {
    Optional<ColdStartPermit> ticket = gates.tryStart(other.upstream().name());
    if (ticket.isEmpty()) {
      return;
    }
    boolean sent = budget.tryTake(entry.nowMs()) && send(call, other.service(), ticket.get());
    if (!sent) {
      gates.ended(ticket.get(), ResultCode.OVERLOADED);
    }
  }

  private void onEnd(RoutedCall call, ResultCode code) {
    boolean last = call.ended();
    if (call.result().isDone()) {
      return;
    }
    if (code == ResultCode.OK) {
      budget.recordSuccess();
      call.result().complete(code);
      return;
    }
    call.failed(code);
    if (last) {
      retryOrFail(call, code);
    }
  }

  private void retryOrFail(RoutedCall call, ResultCode code) {
    long remainingMs = call.attributes().deadlineMs() - entry.nowMs();
    FailedAttempt failed =
        new FailedAttempt(code, call.idempotent(), false, call.attempts(), remainingMs);
    if (policy.decide(failed, entry.nowMs()) == RetryVerdict.RETRY) {
      attempt(call);
    } else {
      call.fail(code);
    }
  }
}
