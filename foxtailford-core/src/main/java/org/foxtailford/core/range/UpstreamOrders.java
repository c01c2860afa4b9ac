package org.foxtailford.core.range;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.upstream.UpstreamAddress;

/** Sends the leader's orders to upstreams. */
public interface UpstreamOrders {

  /**
   * Outcome of a release.
   *
   * @param outcome how it ended
   * @param handover what the upstream hands over, if it does
   */
  record Released(OrderOutcome outcome, Optional<String> handover) {}

  /**
   * Grants keys, or renews a grant.
   *
   * @param upstream id of the upstream; another at the same address does not take the order
   * @param holdMs time for which the grant holds, in milliseconds
   * @param handover what the last owner handed over
   * @param timeoutMs longest time for the call, in milliseconds
   * @return never fails; {@link OrderOutcome#UNKNOWN} stands for every failure of the call
   */
  CompletableFuture<OrderOutcome> grant(
      String upstream,
      UpstreamAddress address,
      KeyRange range,
      long fence,
      long holdMs,
      Optional<String> handover,
      long timeoutMs);

  /**
   * Takes keys back; answered when the work on them has ended.
   *
   * @param timeoutMs longest time for the call, in milliseconds
   * @return never fails; {@link OrderOutcome#UNKNOWN} stands for every failure of the call
   */
  CompletableFuture<Released> release(
      String upstream, UpstreamAddress address, KeyRange range, long fence, long timeoutMs);
}
