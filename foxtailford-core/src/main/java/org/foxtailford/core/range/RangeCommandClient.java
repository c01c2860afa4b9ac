package org.foxtailford.core.range;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.upstream.UpstreamAddress;

/** Sends the leader's orders to upstreams. */
public interface RangeCommandClient {

  /**
   * Outcome of a grant.
   *
   * @param outcome how it ended
   * @param session connection over which it was answered; another one may lead to another process
   */
  record GrantResult(CommandOutcome outcome, OptionalLong session) {}

  /**
   * Outcome of a release.
   *
   * @param outcome how it ended
   * @param handover what the upstream hands over, if it does
   */
  record ReleaseResult(CommandOutcome outcome, Optional<String> handover) {}

  /**
   * Grants keys, or renews a grant.
   *
   * @param upstream id of the upstream; another at the same address does not take the order
   * @param holdMs time for which the grant holds, in milliseconds
   * @param handover what the last owner handed over
   * @param session connection that the grant must go over; empty for any
   * @param timeoutMs longest time for the call, in milliseconds
   * @return never fails; {@link CommandOutcome#UNKNOWN} stands for every failure of the call
   */
  CompletableFuture<GrantResult> grant(
      String upstream,
      UpstreamAddress address,
      KeyRange range,
      long fence,
      long holdMs,
      Optional<String> handover,
      OptionalLong session,
      long timeoutMs);

  /**
   * Takes keys back; answered when the work on them has ended.
   *
   * @param timeoutMs longest time for the call, in milliseconds
   * @return never fails; {@link CommandOutcome#UNKNOWN} stands for every failure of the call
   */
  CompletableFuture<ReleaseResult> release(
      String upstream, UpstreamAddress address, KeyRange range, long fence, long timeoutMs);
}
