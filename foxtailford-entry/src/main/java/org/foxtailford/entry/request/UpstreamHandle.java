package org.foxtailford.entry.request;

import org.foxtailford.core.overload.SendPacer;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.foxtailford.net.proxy.UpstreamPool;

/** One life of an upstream with what this VM knows of it and its connections. */
final class UpstreamHandle {

  private final UpstreamEntry entry;
  private final UpstreamLoad load;
  private final UpstreamPool pool;
  private final SendPacer turns;

  UpstreamHandle(UpstreamEntry entry, UpstreamPool pool, SendPacer turns) {
    this.entry = entry;
    this.turns = turns;
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

  SendPacer turns() {
    return turns;
  }

  /** Returns whether an entry tells of the same process at the same address. */
  boolean isFor(UpstreamEntry other) {
    return entry.isSameIncarnation(other) && entry.address().equals(other.address());
  }
}
