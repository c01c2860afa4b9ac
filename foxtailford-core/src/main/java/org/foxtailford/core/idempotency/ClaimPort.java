package org.foxtailford.core.idempotency;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.RecordMember;

/** Sends messages to the record holders, which may include this process. */
public interface ClaimPort {

  /**
   * Requests a claim from a holder.
   *
   * @return the holder's answer; completes exceptionally if none arrives within a short timeout
   */
  CompletableFuture<ClaimAnswer> claim(RecordMember holder, ClaimRequest request);

  /** Reports to a holder how a run ended, without delivery guarantee. */
  void reportEnd(RecordMember holder, ClaimEnd end);
}
