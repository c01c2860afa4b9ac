package org.foxtailford.core.ownership;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.schema.GrantReply;

/**
 * What the leader knows of one upstream at one address within one epoch.
 *
 * <p>The grant's expiry counts from a reading of the upstream's own clock, so a grant that is
 * delivered late does not live longer. That bounds the last possible expiry by the receipt of the
 * answer that carried the reading.
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

  /** Takes the present entry of the VM, or notes that the name is at another address now. */
  void refresh(Upstream current, long nowMs) {
    if (current.address().equals(upstream.address())) {
      upstream = current;
    } else if (replacedMs == Long.MAX_VALUE) {
      replacedMs = nowMs;
    }
  }

  /** Tells whether the name is at another address now; this session then sends nothing more. */
  boolean isReplaced() {
    return replacedMs != Long.MAX_VALUE;
  }

  /** Tells whether the name was at another address at a time already. */
  boolean isReplacedSince(long ms) {
    return replacedMs <= ms;
  }

  boolean isRequestInFlight() {
    return requestInFlight;
  }

  void setRequestInFlight(boolean value) {
    requestInFlight = value;
  }

  /** Tells whether what the upstream holds was read after it accepted a fence of this epoch. */
  boolean isFenced() {
    return fenced;
  }

  long bootId() {
    return bootId;
  }

  long upstreamClockMs() {
    return upstreamClockMs;
  }

  /** Tells whether the upstream answered within the given time. */
  boolean answeredSince(long ms) {
    return fenced && lastReplyMs >= ms;
  }

  /** Tells whether a key of a slice was in the last accepted grant, however it was divided then. */
  boolean holds(SliceKey slice) {
    return heldSlices.stream()
        .filter(held -> held.service().equals(slice.service()))
        .anyMatch(held -> held.range().overlaps(slice.range()));
  }

  /** Notes the process that answers now; a new one holds nothing. */
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

  /** Returns when the latest order that this process accepted was sent. */
  OptionalLong acceptedSentMs() {
    return acceptedSentMs == Long.MIN_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(acceptedSentMs);
  }

  long lastReplyMs() {
    return lastReplyMs;
  }

  /** Notes that this process accepted an order, and so refuses those of earlier epochs. */
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
