package org.foxtailford.core.idempotency;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.RecordMember;

/** Way to the record holders, this process among them. */
public interface ClaimPort {

  /**
   * Asks a holder.
   *
   * @return its answer; fails if none comes in a short time
   */
  CompletableFuture<ClaimAnswer> claim(RecordMember holder, ClaimRequest request);

  /** Tells a holder how a run ended; the message may be lost. */
  void reportEnd(RecordMember holder, ClaimEnd end);
}
