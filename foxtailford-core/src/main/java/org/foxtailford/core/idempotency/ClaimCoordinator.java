package org.foxtailford.core.idempotency;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimId;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.RecordMember;

/**
 * Claims the right to run a request from the holders of its record, before any byte of the request
 * is sent to an upstream.
 *
 * <p>A claim needs grants from a majority of the holders, so two claims on the same request id are
 * never both granted. Thread-safe.
 */
public final class ClaimCoordinator {

  private final RecordMember self;
  private final Supplier<RosterView> rosters;
  private final ClaimPort port;
  private final RecordLimits limits;
  private final MillisClock clock;
  private final AtomicLong claimNumbers = new AtomicLong();

  /**
   * Creates a coordinator.
   *
   * @param self this process
   * @param rosters supplies the newest roster known to this process
   * @param port sends messages to the holders
   * @param limits limits on the records, identical on every entry VM
   * @param clock this VM's clock
   */
  public ClaimCoordinator(
      RecordMember self,
      Supplier<RosterView> rosters,
      ClaimPort port,
      RecordLimits limits,
      MillisClock clock) {
    this.self = Assert.notNull(self, "self");
    this.rosters = Assert.notNull(rosters, "rosters");
    this.port = Assert.notNull(port, "port");
    this.limits = Assert.notNull(limits, "limits");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Claims the right to run a request, for at most {@link RecordLimits#maxRunMs()}.
   *
   * @return the outcome; never completes exceptionally
   */
  public CompletableFuture<ClaimOutcome> claim(ClaimContent content) {
    RosterView roster = rosters.get();
    List<RecordMember> holders = roster.holders(content.key());
    if (holders.isEmpty()) {
      return CompletableFuture.completedFuture(
          new ClaimOutcome.Refused(
              ResultCode.RECORDS_UNREACHABLE, "no record holders are known yet", 0));
    }
    long runMs = Math.min(content.runMs(), limits.maxRunMs());
    ClaimId claim =
        ClaimId.newBuilder()
            .setVm(self.getVm())
            .setBootId(self.getBootId())
            .setNumber(claimNumbers.incrementAndGet())
            .build();
    ClaimEnd template =
        ClaimEnd.newBuilder()
            .setService(content.service())
            .setRequestId(content.requestId())
            .setFingerprint(content.fingerprint())
            .setClaim(claim)
            .build();
    ClaimTicket ticket = new ClaimTicket(port, holders, template, clock, clock.nowMs() + runMs);
    ClaimVote vote = new ClaimVote(holders.size(), ticket);
    ClaimRequest request =
        ClaimRequest.newBuilder()
            .setRosterVersion(roster.version())
            .setService(content.service())
            .setRequestId(content.requestId())
            .setFingerprint(content.fingerprint())
            .setClaim(claim)
            .setRunMs((int) runMs)
            .setFirstSend(content.firstSend())
            .build();
    for (RecordMember holder : holders) {
      port.claim(holder, request).whenComplete((answer, failure) -> vote.add(answer));
    }
    return vote.outcome();
  }
}
