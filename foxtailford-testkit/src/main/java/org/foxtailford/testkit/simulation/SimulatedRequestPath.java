package org.foxtailford.testkit.simulation;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.retry.FailedAttempt;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.retry.RetryVerdict;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.util.Assert;

/** Requests of callers on one start of one entry VM: routing, retries and relays. */
final class SimulatedRequestPath {

  private static final int MAX_ATTEMPTS = 3;
  private static final long MIN_REMAINING_MS = 2;
  private static final double RETRY_SHARE = 0.2;
  private static final double RETRIES_PER_SECOND = 1;
  private static final double MAX_RETRIES = 20;

  private final SimulatedCandidate entry;
  private final int start;
  private final OwnershipSystem system;
  private final RequestLedger ledger;
  private final RandomGenerator random;
  private final RequestRouter router;
  private final RetryBudget budget;
  private final RetryPolicy policy;

  SimulatedRequestPath(
      SimulatedCandidate entry,
      OwnershipSystem system,
      RequestLedger ledger,
      RandomGenerator random) {
    this.entry = Assert.notNull(entry, "entry");
    this.system = Assert.notNull(system, "system");
    this.ledger = Assert.notNull(ledger, "ledger");
    this.random = Assert.notNull(random, "random");
    start = entry.starts();
    Random draws = new Random(random.nextLong());
    router = new RequestRouter(new TwoChoicesChooser(draws), new ServiceLoads(() -> 1));
    budget = new RetryBudget(RETRY_SHARE, RETRIES_PER_SECOND, MAX_RETRIES, entry.nowMs());
    policy = new RetryPolicy(MAX_ATTEMPTS, MIN_REMAINING_MS, budget);
  }

  /** Tells whether the entry VM still runs the process that this path belongs to. */
  boolean isCurrent() {
    return start == entry.starts();
  }

  /** Runs a request; the future stays open if the entry VM is lost meanwhile. */
  CompletableFuture<ResultCode> run(RequestAttributes attributes, boolean idempotent) {
    CompletableFuture<ResultCode> result = new CompletableFuture<>();
    attempt(new Call(attributes, idempotent, result), 1);
    return result;
  }

  private record Call(
      RequestAttributes attributes, boolean idempotent, CompletableFuture<ResultCode> result) {

    String id() {
      return attributes.requestId().orElseThrow();
    }
  }

  private void attempt(Call call, int number) {
    RouteDecision decision = router.decide(call.attributes(), snapshot(), Set.of(), entry.nowMs());
    if (decision instanceof RouteDecision.Refuse refuse) {
      call.result().complete(refuse.code());
    } else if (decision instanceof RouteDecision.ToDataCentre home) {
      relay(call, home.dataCentre());
    } else if (decision instanceof RouteDecision.ToOwner owner) {
      sendToOwner(call, owner, number);
    } else {
      throw new IllegalStateException("keyed requests have no other ways: " + decision);
    }
  }

  private RoutingSnapshot snapshot() {
    return RoutingSnapshot.initial(entry.dataCentre())
        .withConfiguration(entry.knowledge().configuration())
        .withHomes(entry.knowledge().homes().directory())
        .withOwners(entry.owners());
  }

  private void sendToOwner(Call call, RouteDecision.ToOwner owner, int number) {
    SimulatedUpstream upstream = system.upstream(owner.upstream().name());
    system
        .network()
        .callOnce(
            entry.name(), upstream, remainingMs(call), () -> runAt(upstream, call.id(), owner))
        .whenComplete((code, failure) -> here(() -> onAnswer(call, number, codeOf(code, failure))));
  }

  private ResultCode runAt(SimulatedUpstream upstream, String id, RouteDecision.ToOwner owner) {
    if (!upstream.owns(OwnershipSystem.SERVICE, owner.keyHash(), owner.fence())) {
      return ResultCode.OWNERSHIP_CHANGED;
    }
    ledger.ran(id, upstream, system.queue().nowMs());
    return ResultCode.OK;
  }

  private void relay(Call call, String dataCentre) {
    List<SimulatedCandidate> there =
        system.candidates(dataCentre).stream().filter(SimulatedNode::running).toList();
    if (there.isEmpty()) {
      call.result().complete(ResultCode.HOME_UNREACHABLE);
      return;
    }
    SimulatedCandidate peer = there.get(random.nextInt(there.size()));
    long remainingMs = remainingMs(call);
    system
        .network()
        .callLater(
            entry.name(),
            peer,
            remainingMs,
            () -> peer.path().run(relayed(call, peer, remainingMs), call.idempotent()))
        .whenComplete((code, failure) -> here(() -> call.result().complete(codeOf(code, failure))));
  }

  private static RequestAttributes relayed(Call call, SimulatedCandidate peer, long remainingMs) {
    RequestAttributes attributes = call.attributes();
    return new RequestAttributes(
        attributes.service(),
        attributes.kind(),
        attributes.key(),
        attributes.requestId(),
        peer.nowMs() + remainingMs,
        attributes.hops() + 1);
  }

  /** Runs a step on the entry VM, unless its process was lost meanwhile. */
  private void here(Runnable step) {
    entry.execute(
        () -> {
          if (isCurrent()) {
            step.run();
          }
        });
  }

  private long remainingMs(Call call) {
    return call.attributes().deadlineMs() - entry.nowMs();
  }

  private static ResultCode codeOf(ResultCode code, Throwable failure) {
    if (failure == null) {
      return code;
    }
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean timeout = cause instanceof TimeoutException;
    return timeout ? ResultCode.ANSWER_TIMEOUT : ResultCode.OUTCOME_UNKNOWN;
  }

  private void onAnswer(Call call, int number, ResultCode code) {
    if (code == ResultCode.OK) {
      budget.succeeded();
      call.result().complete(code);
      return;
    }
    FailedAttempt failed =
        new FailedAttempt(code, call.idempotent(), true, number, remainingMs(call));
    if (policy.decide(failed, entry.nowMs()) == RetryVerdict.RETRY) {
      attempt(call, number + 1);
    } else {
      call.result().complete(code);
    }
  }
}
