package org.foxtailford.testkit.simulation;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
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
  private final OwnershipSystem system;
  private final RequestLedger ledger;
  private final RandomGenerator random;
  private final RequestRouter router;
  private final RetryBudget budget;
  private final RetryPolicy policy;
  private final SimulatedGuard guard;
  private final SimulatedGates gates;
  private final NodeCalls calls;
  private final UnkeyedAttempts unkeyed;

  SimulatedRequestPath(
      SimulatedCandidate entry,
      OwnershipSystem system,
      RequestLedger ledger,
      RandomGenerator random) {
    this.entry = Assert.notNull(entry, "entry");
    this.system = Assert.notNull(system, "system");
    this.ledger = Assert.notNull(ledger, "ledger");
    this.random = Assert.notNull(random, "random");
    Random draws = new Random(random.nextLong());
    ServiceLoads loads = new ServiceLoads(() -> system.candidates().size());
    router = new RequestRouter(new TwoChoicesChooser(draws), loads);
    budget = new RetryBudget(RETRY_SHARE, RETRIES_PER_SECOND, MAX_RETRIES, entry.nowMs());
    policy = new RetryPolicy(MAX_ATTEMPTS, MIN_REMAINING_MS, budget);
    guard = new SimulatedGuard(entry, system);
    gates = new SimulatedGates(entry, system);
    calls = new NodeCalls(entry, system);
    unkeyed =
        new UnkeyedAttempts(
            entry, system, this::snapshot, router, loads, budget, policy, guard, gates, calls);
  }

  SimulatedGates gates() {
    return gates;
  }

  SimulatedGuard guard() {
    return guard;
  }

  /** Runs a request; the future stays open if the entry VM is lost meanwhile. */
  CompletableFuture<ResultCode> run(RequestAttributes attributes, RequestTraits traits) {
    RoutedCall call = new RoutedCall(attributes, traits);
    if (attributes.key().isPresent()) {
      attempt(call);
    } else {
      unkeyed.attempt(call);
    }
    return call.result();
  }

  private void attempt(RoutedCall call) {
    RouteDecision decision =
        router.decide(call.attributes(), snapshot(), call.excluded(), entry.nowMs());
    if (decision instanceof RouteDecision.Refuse refuse) {
      call.fail(refuse.code());
    } else if (decision instanceof RouteDecision.ToDataCentre home) {
      relay(call, home.dataCentre());
    } else if (decision instanceof RouteDecision.ToOwner owner) {
      sendToOwner(call, owner);
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

  private void sendToOwner(RoutedCall call, RouteDecision.ToOwner owner) {
    SimulatedUpstream upstream = system.upstream(owner.upstream().name());
    call.started();
    guard
        .run(
            call,
            upstream.name(),
            () -> calls.send(call, upstream, () -> runAt(upstream, call.id(), owner)))
        .thenAccept(code -> onAnswer(call, code));
  }

  private CompletableFuture<ResultCode> runAt(
      SimulatedUpstream upstream, String id, RouteDecision.ToOwner owner) {
    ledger.arrived(id, upstream, system.queue().nowMs());
    if (!upstream.owns(OwnershipSystem.SERVICE, owner.keyHash(), owner.fence())) {
      return CompletableFuture.completedFuture(ResultCode.OWNERSHIP_CHANGED);
    }
    ledger.ran(id, upstream, system.queue().nowMs());
    return CompletableFuture.completedFuture(ResultCode.OK);
  }

  private void relay(RoutedCall call, String dataCentre) {
    List<SimulatedCandidate> there =
        system.candidates(dataCentre).stream().filter(SimulatedNode::running).toList();
    if (there.isEmpty()) {
      call.fail(ResultCode.HOME_UNREACHABLE);
      return;
    }
    SimulatedCandidate peer = there.get(random.nextInt(there.size()));
    long remainingMs = call.attributes().deadlineMs() - entry.nowMs();
    calls
        .send(call, peer, () -> peer.path().run(relayed(call, peer, remainingMs), call.traits()))
        .thenAccept(code -> call.result().complete(code));
  }

  private static RequestAttributes relayed(
      RoutedCall call, SimulatedCandidate peer, long remainingMs) {
    RequestAttributes attributes = call.attributes();
    return new RequestAttributes(
        attributes.service(),
        attributes.kind(),
        attributes.key(),
        attributes.requestId(),
        peer.nowMs() + remainingMs,
        attributes.hops() + 1);
  }

  private void onAnswer(RoutedCall call, ResultCode code) {
    call.ended();
    if (code == ResultCode.OK) {
      budget.recordSuccess();
      call.result().complete(code);
      return;
    }
    call.failed(code);
    long remainingMs = call.attributes().deadlineMs() - entry.nowMs();
    FailedAttempt failed =
        new FailedAttempt(code, call.idempotent(), true, call.attempts(), remainingMs);
    if (policy.decide(failed, entry.nowMs()) == RetryVerdict.RETRY) {
      attempt(call);
    } else {
      call.fail(code);
    }
  }
}
