package org.foxtailford.testkit.simulation;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.idempotency.ClaimContent;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.poison.PoisonVerdict;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.slice.KeyHashing;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.PoisonReport;

/** Stands before each attempt on one start of an entry VM: poison, suspects and claims. */
final class SimulatedGuard {

  private final SimulatedCandidate vm;
  private final OwnershipSystem system;
  private final PoisonTracker poison;

  SimulatedGuard(SimulatedCandidate vm, OwnershipSystem system) {
    this.vm = Assert.notNull(vm, "vm");
    this.system = Assert.notNull(system, "system");
    poison = new PoisonTracker(PoisonLimits.DEFAULT, vm::nowMs);
  }

  /** Runs an attempt if it may run. */
  CompletableFuture<ResultCode> run(
      RoutedCall call, String upstream, Supplier<CompletableFuture<ResultCode>> attempt) {
    long fingerprint = KeyHashing.hash(call.content());
    PoisonVerdict verdict = system.variant().onVerdict(poison.verdict(fingerprint));
    if (verdict == PoisonVerdict.POISON) {
      return CompletableFuture.completedFuture(ResultCode.POISON_REQUEST);
    }
    boolean trial = verdict == PoisonVerdict.SUSPECT;
    if (trial && !poison.tryBeginTrial(fingerprint)) {
      return CompletableFuture.completedFuture(ResultCode.OVERLOADED);
    }
    CompletableFuture<ResultCode> answer =
        call.idempotent() || !system.variant().claimsRequests()
            ? watch(fingerprint, upstream, attempt)
            : vm.claims()
                .run(contentOf(call, fingerprint), () -> watch(fingerprint, upstream, attempt));
    if (trial) {
      answer.thenAccept(code -> poison.endTrial(fingerprint));
    }
    return answer;
  }

  private ClaimContent contentOf(RoutedCall call, long fingerprint) {
    return new ClaimContent(
        call.attributes().service(),
        call.id(),
        fingerprint,
        call.firstSend(),
        Math.max(0, call.attributes().deadlineMs() - vm.nowMs()));
  }

  private CompletableFuture<ResultCode> watch(
      long fingerprint, String upstream, Supplier<CompletableFuture<ResultCode>> attempt) {
    CompletableFuture<ResultCode> sent = attempt.get();
    sent.thenAccept(code -> onEnd(fingerprint, upstream, code));
    return sent;
  }

  private void onEnd(long fingerprint, String upstream, ResultCode code) {
    if (code == ResultCode.OK) {
      poison.recordAnswer(fingerprint);
    } else if (code == ResultCode.OUTCOME_UNKNOWN) {
      send(poison.recordConnectionLoss(upstream, fingerprint));
    } else if (code == ResultCode.UPSTREAM_UNREACHABLE) {
      send(poison.recordUpstreamLoss(upstream));
    }
  }

  private void send(Optional<PoisonReport> report) {
    report.ifPresent(
        found ->
            system.candidates().stream()
                .filter(other -> other != vm)
                .forEach(o -> system.network().send(vm.name(), o, () -> o.receivePoison(found))));
  }

  /** Notes that an upstream takes no connections. */
  void upstreamLost(String upstream) {
    send(poison.recordUpstreamLoss(upstream));
  }

  void receive(PoisonReport report) {
    poison.applyReport(report);
  }
}
