package org.foxtailford.core.coldstart;

import java.util.OptionalLong;

/**
 * Permission to send one request to an upstream.
 *
 * @param upstream name of the upstream
 * @param bootId incarnation of the upstream that the connection must lead to; {@link
 *     #ANY_INCARNATION} if it may lead to any
 * @param cold whether the upstream counts as cold
 * @param startedMs reading of this VM's clock when the permission was given
 * @param maxTimeoutMs maximum timeout that the request may carry, in milliseconds; {@link
 *     Long#MAX_VALUE} for no limit
 */
public record ColdStartPermit(
    String upstream, long bootId, boolean cold, long startedMs, long maxTimeoutMs) {

  /** Stands for any boot id, for an upstream that needs no slow start. */
  public static final long ANY_INCARNATION = 0;

  /** Returns the permit for an upstream that needs no slow start. */
  public static ColdStartPermit unguarded(String upstream, long nowMs) {
    return new ColdStartPermit(upstream, ANY_INCARNATION, false, nowMs, Long.MAX_VALUE);
  }

  /** Returns the boot id that the connection must have; empty if any will do. */
  public OptionalLong requiredBootId() {
    return bootId == ANY_INCARNATION ? OptionalLong.empty() : OptionalLong.of(bootId);
  }

  /**
   * Returns the reading of this VM's clock by which the request must have ended; {@link
   * Long#MAX_VALUE} for no limit.
   */
  public long deadlineMs() {
    return maxTimeoutMs == Long.MAX_VALUE ? Long.MAX_VALUE : startedMs + maxTimeoutMs;
  }
}
