package org.foxtailford.entry.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.foxtailford.core.overload.SendPacer;
import org.foxtailford.core.overload.StatedRateLimit;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.UpstreamPool;

/** Registry of the handles of the upstreams that this VM has used. Confined to the event loop. */
public final class UpstreamRegistry {

  private final Function<UpstreamAddress, UpstreamPool> poolFactory;
  private final DoubleSupplier random;
  private final UpstreamByteLimits byteLimits;
  private final Map<String, UpstreamHandle> handles = new HashMap<>();
  private final Set<UpstreamHandle> retired = new HashSet<>();
  private long closedPoolConnects;

  /**
   * Creates an empty registry.
   *
   * @param poolFactory creates the connection pool of an address
   * @param random source of numbers from 0 to 1, for jitter
   */
  public UpstreamRegistry(
      Function<UpstreamAddress, UpstreamPool> poolFactory,
      DoubleSupplier random,
      MillisClock clock) {
    this.poolFactory = Assert.notNull(poolFactory, "poolFactory");
    this.random = Assert.notNull(random, "random");
    this.byteLimits = new UpstreamByteLimits(clock);
  }

  /** Returns the handle of an upstream; a new incarnation or address gets a new handle. */
  UpstreamHandle getOrCreate(UpstreamEntry entry) {
    UpstreamHandle existing = handles.get(entry.id());
    if (existing != null && existing.isFor(entry)) {
      return existing;
    }
    if (existing != null) {
      close(existing);
    }
    UpstreamHandle created =
        new UpstreamHandle(
            entry,
            poolFactory.apply(entry.address()),
            new SendPacer(random),
            new StatedRateLimit(random),
            byteLimits.getOrCreate(entry.id()));
    handles.put(entry.id(), created);
    return created;
  }

  /** Returns the handle of an upstream; empty if this VM has not used it. */
  Optional<UpstreamHandle> find(String id) {
    return Optional.ofNullable(handles.get(id));
  }

  /** Removes the handle of an upstream, if there is one, and closes its connections. */
  public void remove(String id) {
    UpstreamHandle handle = handles.remove(id);
    if (handle != null) {
      close(handle);
    }
  }

  private void close(UpstreamHandle handle) {
    closedPoolConnects += handle.pool().connects();
    retired.removeIf(past -> past.running().isEmpty());
    if (!handle.running().isEmpty()) {
      retired.add(handle);
    }
    handle.pool().close();
  }

  /** Returns the number of upstreams that have owed an answer for a time, in milliseconds. */
  int silentUpstreams(long silentMs, long nowMs) {
    return (int)
        handles.values().stream().filter(h -> h.load().silentMs(nowMs) >= silentMs).count();
  }

  /** Returns the bytes of bodies of the requests that upstreams have from this VM. */
  public long bodyBytes() {
    return byteLimits.heldBytes();
  }

  /** Returns the number of upstreams that get a limited number of body bytes. */
  public long byteLimitedUpstreams() {
    return byteLimits.inForce();
  }

  /** Returns the handles of all upstreams that this VM has used. */
  List<UpstreamHandle> all() {
    return List.copyOf(handles.values());
  }

  /** Returns the handles of all upstreams, and removed ones that still have requests. */
  List<UpstreamHandle> allWithRetired() {
    retired.removeIf(past -> past.running().isEmpty());
    List<UpstreamHandle> all = new ArrayList<>(handles.values());
    all.addAll(retired);
    return all;
  }

  /** Returns the number of connections opened since the start, including those of past handles. */
  public long connects() {
    return closedPoolConnects
        + handles.values().stream().mapToLong(handle -> handle.pool().connects()).sum();
  }
}
