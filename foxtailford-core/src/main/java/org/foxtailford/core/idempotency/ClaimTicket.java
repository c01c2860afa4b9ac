package org.foxtailford.core.idempotency;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimState;
import org.foxtailford.schema.KeptAnswer;
import org.foxtailford.schema.RecordMember;

/** Right to run one request once. Its holder must end it. Thread-safe. */
public final class ClaimTicket {

  private final ClaimPort port;
  private final List<RecordMember> holders;
  private final ClaimEnd template;
  private final MillisClock clock;
  private final long startUntilMs;
  private final AtomicBoolean ended = new AtomicBoolean();

  ClaimTicket(
      ClaimPort port,
      List<RecordMember> holders,
      ClaimEnd template,
      MillisClock clock,
      long startUntilMs) {
    this.port = port;
    this.holders = holders;
    this.template = template;
    this.clock = clock;
    this.startUntilMs = startUntilMs;
  }

  /** Tells whether the run may start at this moment; after a long pause it may not. */
  public boolean mayStart() {
    return !ended.get() && clock.nowMs() < startUntilMs;
  }

  /** The request did not run under this claim and never will. */
  public void release() {
    end(template.toBuilder().setState(ClaimState.CLAIM_STATE_RELEASED).build());
  }

  /** The request may have run. */
  public void endUnknown() {
    end(template.toBuilder().setState(ClaimState.CLAIM_STATE_UNKNOWN).build());
  }

  /** The request ran and was answered. */
  public void endAnswered(KeptAnswer answer) {
    ClaimEnd.Builder end = template.toBuilder().setState(ClaimState.CLAIM_STATE_ANSWERED);
    end(end.setAnswer(answer).build());
  }

  private void end(ClaimEnd end) {
    if (ended.compareAndSet(false, true)) {
      holders.forEach(holder -> port.reportEnd(holder, end));
    }
  }
}
