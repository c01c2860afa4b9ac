package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamByteLimit;
import org.foxtailford.core.util.Assert;

/**
 * The limits on body bytes of upstreams, by id: the next process of an upstream has no more memory
 * than the one that ended. Confined to the event loop.
 */
final class UpstreamByteLimits {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of upstreams that are remembered; the largest fleets have some 300. */
  private static final int MAX_UPSTREAMS = 1000;

  private final MillisClock clock;
  private final Map<String, UpstreamByteLimit> limits = new LinkedHashMap<>();

  UpstreamByteLimits(MillisClock clock) {
    this.clock = Assert.notNull(clock, "clock");
  }

  UpstreamByteLimit getOrCreate(String id) {
    UpstreamByteLimit known = limits.get(id);
    if (known != null) {
      return known;
    }
    if (limits.size() >= MAX_UPSTREAMS) {
      removeOldest();
    }
    UpstreamByteLimit created = new UpstreamByteLimit(clock);
    limits.put(id, created);
    return created;
  }

  private void removeOldest() {
    Iterator<String> oldest = limits.keySet().iterator();
    oldest.next();
    oldest.remove();
  }

  /** Returns the bytes of bodies that this VM has at all upstreams. */
  long heldBytes() {
    return limits.values().stream().mapToLong(UpstreamByteLimit::heldBytes).sum();
  }

  /** Returns the number of upstreams with a limit. */
  long inForce() {
    return limits.values().stream().filter(limit -> limit.limitBytes().isPresent()).count();
  }

  /** Lowers the limit of an upstream that has ended, if it held requests with bodies. */
  static void onEnded(UpstreamHandle upstream) {
    OptionalLong lowered = upstream.byteLimit().recordEnd();
    if (lowered.isPresent()) {
      logger
          .atWarning()
          .with(EventFields.UPSTREAM, upstream.entry().id())
          .with(EventFields.SERVICE, upstream.entry().service())
          .with(EventFields.COUNT, lowered.getAsLong())
          .log("byte limit of upstream lowered");
    }
  }
}
