package org.foxtailford.entry.request;

import java.util.HashSet;
import java.util.Set;
import org.foxtailford.core.cost.ServiceLoadAverage;
import org.foxtailford.core.cost.UpstreamBacklog;
import org.foxtailford.core.overload.SendPacer;
import org.foxtailford.core.overload.StatedRateLimit;
import org.foxtailford.core.upstream.UpstreamByteLimit;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.foxtailford.net.proxy.UpstreamPool;
import org.jspecify.annotations.Nullable;

/** Connections, load, send pacing and limits of one incarnation of an upstream. */
final class UpstreamHandle {

  private final UpstreamEntry entry;
  private final UpstreamLoad load;
  private final UpstreamPool pool;
  private final SendPacer pacer;
  private final StatedRateLimit limit;
  private final UpstreamByteLimit byteLimit;
  private final String incarnation;
  private final Set<RequestCall> running = new HashSet<>();
  private @Nullable UpstreamBacklog backlog;
  private int trials;
  private int processes = 1;

  UpstreamHandle(
      UpstreamEntry entry,
      UpstreamPool pool,
      SendPacer pacer,
      StatedRateLimit limit,
      UpstreamByteLimit byteLimit) {
    this.entry = entry;
    this.pacer = pacer;
    this.limit = limit;
    this.byteLimit = byteLimit;
    this.load = new UpstreamLoad(entry.slots());
    this.pool = pool;
    this.incarnation = entry.incarnation();
  }

  /**
   * Returns a name of one of the processes that have used this registration, one after the other;
   * the first is named as the incarnation. VMs that saw the same ends give the same names.
   *
   * @param number number of the process, from 1
   */
  String processName(int number) {
    processes = Math.max(processes, number);
    return number == 1 ? incarnation : incarnation + "#" + number;
  }

  /** Returns the number of processes that were named so far. */
  int processes() {
    return processes;
  }

  /** Returns the requests of this VM that were sent and have not ended. */
  Set<RequestCall> running() {
    return running;
  }

  /** Returns whether a request that is suspected of ending upstreams runs here. */
  boolean hasTrial() {
    return trials > 0;
  }

  void beginTrial() {
    trials++;
  }

  void endTrial() {
    trials--;
  }

  UpstreamEntry entry() {
    return entry;
  }

  UpstreamLoad load() {
    return load;
  }

  /** Returns the remaining work; it is created at the first call, with the service's average. */
  UpstreamBacklog backlog(ServiceLoadAverage average) {
    UpstreamBacklog existing = backlog;
    if (existing == null) {
      existing = new UpstreamBacklog(entry.slots(), average);
      backlog = existing;
    }
    return existing;
  }

  UpstreamPool pool() {
    return pool;
  }

  SendPacer pacer() {
    return pacer;
  }

  StatedRateLimit limit() {
    return limit;
  }

  /** Returns the limit on body bytes, which outlasts the incarnation. */
  UpstreamByteLimit byteLimit() {
    return byteLimit;
  }

  /** Returns whether an entry describes the same incarnation at the same address. */
  boolean isFor(UpstreamEntry other) {
    return entry.isSameIncarnation(other) && entry.address().equals(other.address());
  }
}
