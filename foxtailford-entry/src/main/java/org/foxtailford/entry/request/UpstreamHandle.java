package org.foxtailford.entry.request;

import org.foxtailford.core.overload.SendPacer;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.foxtailford.net.proxy.UpstreamPool;

/** Connections, load and send pacing of one incarnation of an upstream. */
final class UpstreamHandle {

  private final UpstreamEntry entry;
  private final UpstreamLoad load;
  private final UpstreamPool pool;
  private final SendPacer pacer;

  UpstreamHandle(UpstreamEntry entry, UpstreamPool pool, SendPacer pacer) {
    this.entry = entry;
    this.pacer = pacer;
    this.load = new UpstreamLoad(entry.slots());
    this.pool = pool;
  }

  UpstreamEntry entry() {
    return entry;
  }

  UpstreamLoad load() {
    return load;
  }

  UpstreamPool pool() {
    return pool;
  }

  SendPacer pacer() {
    return pacer;
  }

  /** Returns whether an entry describes the same incarnation at the same address. */
  boolean isFor(UpstreamEntry other) {
    return entry.isSameIncarnation(other) && entry.address().equals(other.address());
  }
}
