package org.foxtailford.core.idempotency;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimState;
import org.foxtailford.schema.KeptAnswer;
import org.foxtailford.schema.RecordMember;

/**
 * Right to run one request once.
 *
 * <p>The owner of the ticket must end it by one of {@link #release()}, {@link #endUnknown()} and
 * {@link #endAnswered}; only the first such call has an effect. Thread-safe.
 */
public final class ClaimTicket {

  private final ClaimPort port;
  private final List<RecordMember> holders;
  private final ClaimEnd template;
  private final MillisClock clock;
  private final long startDeadlineMs;
  private final AtomicBoolean ended = new AtomicBoolean();

  ClaimTicket(
      ClaimPort port,
      List<RecordMember> holders,
      ClaimEnd template,
      MillisClock clock,
      long startDeadlineMs) {
    this.port = port;
    this.holders = holders;
    this.template = template;
    this.clock = clock;
    this.startDeadlineMs = startDeadlineMs;
  }

  /**
   * Returns whether the run may start now. After a long pause of the process it may not, since the
   * time for which the holders expect the run has passed.
   */
  public boolean mayStart() {
    return !ended.get() && clock.nowMs() < startDeadlineMs;
  }

  /** Ends the claim of a request that did not run under it and never will. */
  public void release() {
    end(template.toBuilder().setState(ClaimState.CLAIM_STATE_RELEASED).build());
  }

  /** Ends the claim of a request that may have run. */
  public void endUnknown() {
    end(template.toBuilder().setState(ClaimState.CLAIM_STATE_UNKNOWN).build());
  }

  /** Ends the claim of a request that ran and was answered. */
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
