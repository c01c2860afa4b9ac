package org.foxtailford.core.routing;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests that this VM has in flight at each upstream. Thread-safe. */
public final class InFlightCounter {

  private final ConcurrentMap<String, AtomicInteger> byUpstream = new ConcurrentHashMap<>();

  /** Returns the number of requests in flight at an upstream. */
  public int inFlight(String upstream) {
    AtomicInteger count = byUpstream.get(upstream);
    return count == null ? 0 : count.get();
  }

  /** Notes the start of a request. */
  public void started(String upstream) {
    byUpstream.computeIfAbsent(upstream, name -> new AtomicInteger()).incrementAndGet();
  }

  /** Notes the end of a request. */
  public void ended(String upstream) {
    byUpstream.computeIfAbsent(upstream, name -> new AtomicInteger()).decrementAndGet();
  }
}
