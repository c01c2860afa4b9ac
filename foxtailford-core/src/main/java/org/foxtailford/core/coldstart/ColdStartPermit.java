package org.foxtailford.core.coldstart;

import java.util.OptionalLong;

/**
 * Permission to send one request to an upstream.
 *
 * @param upstream name of the upstream
 * @param bootId start of the upstream that the connection must lead to; {@link #ANY_START} if it
 *     may lead to any
 * @param cold whether the upstream counts as cold
 * @param startedMs reading of this VM's clock when it was given
 * @param maxTimeoutMs longest timeout that the request may carry, in milliseconds
 */
public record ColdStartPermit(
    String upstream, long bootId, boolean cold, long startedMs, long maxTimeoutMs) {

  /** In place of a boot id: the upstream has no cold start. */
  public static final long ANY_START = 0;

  /** Returns a permission to send to an upstream that has no cold start. */
  public static ColdStartPermit unguarded(String upstream, long nowMs) {
    return new ColdStartPermit(upstream, ANY_START, false, nowMs, Long.MAX_VALUE);
  }

  /** Returns the boot id that the connection must have. */
  public OptionalLong requiredBootId() {
    return bootId == ANY_START ? OptionalLong.empty() : OptionalLong.of(bootId);
  }

  /** Returns by when the request must have ended, on this VM's clock. */
  public long deadlineMs() {
    return maxTimeoutMs == Long.MAX_VALUE ? Long.MAX_VALUE : startedMs + maxTimeoutMs;
  }
}
