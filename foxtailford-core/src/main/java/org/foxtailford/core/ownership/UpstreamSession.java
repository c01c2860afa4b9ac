package org.foxtailford.core.ownership;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.schema.GrantReply;

/**
 * State of one upstream at one address within one epoch.
 *
 * <p>The expiry of a grant is counted from a reading of the upstream's own clock, so a grant that
 * is delivered late does not live longer. The time at which the reply with that reading was
 * received therefore bounds the latest possible expiry. Not thread-safe.
 */
final class UpstreamSession {

  private Upstream upstream;
  private boolean requestInFlight;
  private boolean fenced;
  private long bootId;
  private long upstreamClockMs;
  private long lastReplyMs = Long.MIN_VALUE;
  private long acceptedSentMs = Long.MIN_VALUE;
  private long replacedMs = Long.MAX_VALUE;
  private final Set<SliceKey> heldSlices = new HashSet<>();

  UpstreamSession(Upstream upstream) {
    this.upstream = upstream;
  }

  Upstream upstream() {
    return upstream;
  }

  /** Updates the upstream, or records that its name has moved to another address. */
  void refresh(Upstream current, long nowMs) {
    if (current.address().equals(upstream.address())) {
      upstream = current;
    } else if (replacedMs == Long.MAX_VALUE) {
      replacedMs = nowMs;
    }
  }

  /**
   * Returns whether the name has moved to another address. This session then sends no more
   * requests.
   */
  boolean isReplaced() {
    return replacedMs != Long.MAX_VALUE;
  }

  /** Returns whether the name had moved to another address at or before a time. */
  boolean isReplacedSince(long ms) {
    return replacedMs <= ms;
  }

  boolean isRequestInFlight() {
    return requestInFlight;
  }

  void setRequestInFlight(boolean value) {
    requestInFlight = value;
  }

  /**
   * Returns whether the slices that the upstream holds were read after it accepted a fence of this
   * epoch.
   */
  boolean isFenced() {
    return fenced;
  }

  long bootId() {
    return bootId;
  }

  long upstreamClockMs() {
    return upstreamClockMs;
  }

  /** Returns whether the upstream is fenced and its latest reply arrived at or after a time. */
  boolean answeredSince(long ms) {
    return fenced && lastReplyMs >= ms;
  }

  /**
   * Returns whether the last accepted grant included a key of a slice, however the range was split
   * at that time.
   */
  boolean holds(SliceKey slice) {
    return heldSlices.stream()
        .filter(held -> held.service().equals(slice.service()))
        .anyMatch(held -> held.range().overlaps(slice.range()));
  }

  /**
   * Records the process that replied and the reading of its clock. A process with a new boot ID
   * holds no slices.
   */
  void recordReply(GrantReply reply, long nowMs) {
    if (reply.getBootId() != bootId) {
      bootId = reply.getBootId();
      fenced = false;
      acceptedSentMs = Long.MIN_VALUE;
      heldSlices.clear();
    }
    upstreamClockMs = reply.getNowMs();
    lastReplyMs = nowMs;
  }

  /**
   * Returns the time at which the latest request that this process accepted was sent; empty if it
   * has accepted none.
   */
  OptionalLong acceptedSentMs() {
    return acceptedSentMs == Long.MIN_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(acceptedSentMs);
  }

  long lastReplyMs() {
    return lastReplyMs;
  }

  /** Records that this process accepted a request, and so refuses those of earlier epochs. */
  void recordRequestAccepted(long sentMs) {
    acceptedSentMs = Math.max(acceptedSentMs, sentMs);
  }

  void recordHeldSlices(Set<SliceKey> slices) {
    fenced = true;
    heldSlices.clear();
    heldSlices.addAll(slices);
  }

  void markLapsed() {
    heldSlices.clear();
    fenced = false;
  }
}
