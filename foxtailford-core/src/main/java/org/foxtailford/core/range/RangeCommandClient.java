package org.foxtailford.core.range;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.upstream.UpstreamAddress;

/** Sends the leader's commands to upstreams. */
public interface RangeCommandClient {

  /**
   * Result of a grant.
   *
   * @param outcome outcome of the command
   * @param session connection over which the answer arrived, empty without an answer; another
   *     connection may lead to another process
   */
  record GrantResult(CommandOutcome outcome, OptionalLong session) {}

  /**
   * Result of a release.
   *
   * @param outcome outcome of the command
   * @param handover token that the upstream passes to the next owner; empty if it passes none
   */
  record ReleaseResult(CommandOutcome outcome, Optional<String> handover) {}

  /**
   * Grants keys, or renews a grant.
   *
   * @param upstream id of the upstream; another upstream at the same address rejects the command
   * @param grantTtlMs time for which the grant is in force after its arrival, in milliseconds
   * @param handover token that the previous owner returned with its release; empty if there is none
   * @param session connection over which the grant must be sent; empty for any
   * @param timeoutMs timeout of the call, in milliseconds
   * @return a future that never fails; a call without a definite outcome completes with {@link
   *     CommandOutcome#UNKNOWN}
   */
  CompletableFuture<GrantResult> grant(
      String upstream,
      UpstreamAddress address,
      KeyRange range,
      long fence,
      long grantTtlMs,
      Optional<String> handover,
      OptionalLong session,
      long timeoutMs);

  /**
   * Takes keys back. The upstream answers when its work on them has ended.
   *
   * @param timeoutMs timeout of the call, in milliseconds
   * @return a future that never fails; a call without a definite outcome completes with {@link
   *     CommandOutcome#UNKNOWN}
   */
  CompletableFuture<ReleaseResult> release(
      String upstream, UpstreamAddress address, KeyRange range, long fence, long timeoutMs);
}
