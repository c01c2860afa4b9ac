package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.idempotency.ClaimContent;
import org.foxtailford.core.idempotency.ClaimCoordinator;
import org.foxtailford.core.idempotency.ClaimOutcome;
import org.foxtailford.core.idempotency.ClaimPort;
import org.foxtailford.core.idempotency.ClaimTicket;
import org.foxtailford.core.idempotency.RecordHolder;
import org.foxtailford.core.idempotency.RecordLimits;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.KeptAnswer;
import org.foxtailford.schema.RecordMember;
import org.foxtailford.schema.RecordRoster;

/** Claims on request ids by one start of an entry VM, and the records that it holds. */
final class SimulatedClaims {

  private static final long ANSWER_TIMEOUT_MS = 300;

  private final SimulatedCandidate vm;
  private final OwnershipSystem system;
  private final RecordHolder holder;
  private final ClaimCoordinator coordinator;

  SimulatedClaims(SimulatedCandidate vm, OwnershipSystem system) {
    this.vm = Assert.notNull(vm, "vm");
    this.system = Assert.notNull(system, "system");
    RecordMember self = memberOf(vm, vm.starts());
    holder = new RecordHolder(self, RecordLimits.DEFAULT, vm::nowMs);
    holder.adopt(firstRoster(system));
    coordinator =
        new ClaimCoordinator(self, holder::roster, new Port(), RecordLimits.DEFAULT, vm::nowMs);
  }

  private static RecordMember memberOf(SimulatedCandidate vm, long bootId) {
    return RecordMember.newBuilder()
        .setVm(vm.name())
        .setBootId(bootId)
        .setDataCentre(vm.dataCentre())
        .build();
  }

  /** Returns the roster of the first start of each entry VM. */
  private static RecordRoster firstRoster(OwnershipSystem system) {
    List<RecordMember> members = new ArrayList<>();
    system.candidates().forEach(candidate -> members.add(memberOf(candidate, 0)));
    return RecordRoster.newBuilder().setVersion(1).addAllMembers(members).build();
  }

  /** Claims the right to run a request and then runs it. */
  CompletableFuture<ResultCode> run(
      ClaimContent content, Supplier<CompletableFuture<ResultCode>> attempt) {
    return coordinator.claim(content).thenCompose(outcome -> proceed(outcome, attempt));
  }

  private CompletableFuture<ResultCode> proceed(
      ClaimOutcome outcome, Supplier<CompletableFuture<ResultCode>> attempt) {
    if (outcome instanceof ClaimOutcome.Granted granted) {
      return start(granted.ticket(), attempt);
    }
    if (outcome instanceof ClaimOutcome.Refused refused) {
      return CompletableFuture.completedFuture(refused.code());
    }
    return CompletableFuture.completedFuture(ResultCode.OK);
  }

  private static CompletableFuture<ResultCode> start(
      ClaimTicket ticket, Supplier<CompletableFuture<ResultCode>> attempt) {
    if (!ticket.mayStart()) {
      ticket.release();
      return CompletableFuture.completedFuture(ResultCode.DEADLINE_EXPIRED);
    }
    return attempt
        .get()
        .thenApply(
            code -> {
              end(ticket, code);
              return code;
            });
  }

  private static void end(ClaimTicket ticket, ResultCode code) {
    if (code == ResultCode.OK) {
      ticket.endAnswered(KeptAnswer.newBuilder().setStatus(code.httpStatus()).build());
    } else if (code.effect() == Effect.NOT_RUN) {
      ticket.release();
    } else {
      ticket.endUnknown();
    }
  }

  private RecordHolder holder() {
    return holder;
  }

  /** Reaches holders over the simulated network, and the one of this VM directly. */
  private final class Port implements ClaimPort {

    @Override
    public CompletableFuture<ClaimAnswer> claim(RecordMember member, ClaimRequest request) {
      SimulatedCandidate other = candidate(member);
      if (other == vm && member.getBootId() == vm.starts()) {
        return CompletableFuture.completedFuture(holder.claim(request));
      }
      CompletableFuture<ClaimAnswer> answer =
          system
              .network()
              .callLater(
                  vm.name(),
                  other,
                  ANSWER_TIMEOUT_MS,
                  () -> answer(other, member.getBootId(), request));
      return answer.thenApplyAsync(received -> received, vm.control());
    }

    private CompletableFuture<ClaimAnswer> answer(
        SimulatedCandidate other, long bootId, ClaimRequest request) {
      if (other.starts() != bootId) {
        return new CompletableFuture<>();
      }
      return CompletableFuture.completedFuture(other.claims().holder().claim(request));
    }

    @Override
    public void reportEnd(RecordMember member, ClaimEnd end) {
      SimulatedCandidate other = candidate(member);
      if (other == vm && member.getBootId() == vm.starts()) {
        holder.recordEnd(end);
      } else {
        system.network().sendOnce(vm.name(), other, () -> receive(other, member, end));
      }
    }

    private void receive(SimulatedCandidate other, RecordMember member, ClaimEnd end) {
      if (other.starts() == member.getBootId()) {
        other.claims().holder().recordEnd(end);
      }
    }

    private SimulatedCandidate candidate(RecordMember member) {
      return system.candidates().stream()
          .filter(candidate -> candidate.name().equals(member.getVm()))
          .findFirst()
          .orElseThrow();
    }
  }
}
