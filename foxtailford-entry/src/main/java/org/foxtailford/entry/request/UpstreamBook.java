package org.foxtailford.entry.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.foxtailford.core.overload.SendPacer;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.UpstreamPool;

/** Handles of the upstreams that this VM has used. Used on the event loop only. */
public final class UpstreamBook {

  private final Function<UpstreamAddress, UpstreamPool> pools;
  private final DoubleSupplier random;
  private final Map<String, UpstreamHandle> handles = new HashMap<>();
  private long pastConnects;

  /** Creates a book that opens pools with a function, and a source of numbers from 0 to 1. */
  public UpstreamBook(Function<UpstreamAddress, UpstreamPool> pools, DoubleSupplier random) {
    this.pools = Assert.notNull(pools, "pools");
    this.random = Assert.notNull(random, "random");
  }

  /** Returns the handle of an upstream; another life or address gets a new one. */
  UpstreamHandle of(UpstreamEntry entry) {
    UpstreamHandle present = handles.get(entry.id());
    if (present != null && present.isFor(entry)) {
      return present;
    }
    if (present != null) {
      close(present);
    }
    UpstreamHandle fresh =
        new UpstreamHandle(entry, pools.apply(entry.address()), new SendPacer(random));
    handles.put(entry.id(), fresh);
    return fresh;
  }

  /** Drops an upstream that is gone. */
  public void drop(String id) {
    UpstreamHandle handle = handles.remove(id);
    if (handle != null) {
      close(handle);
    }
  }

  private void close(UpstreamHandle handle) {
    pastConnects += handle.pool().connects();
    handle.pool().close();
  }

  /** Returns how many connections were begun since the start. */
  public long connects() {
    return pastConnects
        + handles.values().stream().mapToLong(handle -> handle.pool().connects()).sum();
  }
}
