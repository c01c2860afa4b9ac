package org.foxtailford.core.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailford.core.util.Assert;
import org.foxtailford.core.util.RendezvousHashing;

/**
 * Limits the rate at which this entry VM sends requests to cold upstreams.
 *
 * <p>An upstream's cold rate is divided among at most as many entry VMs as it accepts requests per
 * second. These VMs are selected by rendezvous hashing of the upstream's id, so that all VMs agree
 * without exchanging messages. Handles a data centre whose upstreams all restart cold at once. Not
 * thread-safe.
 */
public final class ColdUpstreamRateLimiter {

  /**
   * Time without requests after which an upstream is dropped, in milliseconds; several warm-ups.
   */
  private static final long IDLE_EXPIRY_MS = 60_000;

  private final String node;
  private final Map<String, Long> nextSendMs = new HashMap<>();
  private final Map<String, Selection> selections = new HashMap<>();
  private Collection<String> selectedFrom = List.of();

  /** Whether this VM is among the {@code senders} VMs selected for an upstream. */
  private record Selection(int senders, boolean selected) {}

  /**
   * Creates a rate limiter.
   *
   * @param node id of this entry VM
   */
  public ColdUpstreamRateLimiter(String node) {
    this.node = Assert.hasLength(node, "node");
  }

  /**
   * Returns whether this VM may send a request to a cold upstream now.
   *
   * @param requestsPerSecond rate that the upstream accepts from all entry VMs together
   * @param entryVms ids of the entry VMs that share the rate
   */
  public boolean maySend(
      String upstream, double requestsPerSecond, Collection<String> entryVms, long nowMs) {
    return nowMs >= nextSendMs.getOrDefault(upstream, Long.MIN_VALUE)
        && intervalMs(upstream, requestsPerSecond, entryVms) > 0;
  }

  /** Records that this VM sends a request to a cold upstream. */
  public void recordSend(
      String upstream, double requestsPerSecond, Collection<String> entryVms, long nowMs) {
    nextSendMs.put(upstream, nowMs + intervalMs(upstream, requestsPerSecond, entryVms));
    nextSendMs.values().removeIf(next -> next < nowMs - IDLE_EXPIRY_MS);
  }

  private long intervalMs(String upstream, double requestsPerSecond, Collection<String> entryVms) {
    int senders = (int) Math.max(1, Math.min(entryVms.size(), requestsPerSecond));
    boolean selected = requestsPerSecond > 0 && isSelected(upstream, senders, entryVms);
    return selected ? (long) (1000 * senders / requestsPerSecond) : 0;
  }

  /** Caches the selection until the entry VMs change: it is queried per request and upstream. */
  private boolean isSelected(String upstream, int senders, Collection<String> entryVms) {
    if (!selectedFrom.equals(entryVms)) {
      selectedFrom = entryVms;
      selections.clear();
    }
    Selection cached = selections.get(upstream);
    if (cached != null && cached.senders() == senders) {
      return cached.selected();
    }
    List<String> candidates = new ArrayList<>(entryVms);
    if (!candidates.contains(node)) {
      candidates.add(node);
    }
    boolean selected = RendezvousHashing.rank(upstream, candidates).indexOf(node) < senders;
    selections.put(upstream, new Selection(senders, selected));
    return selected;
  }
}
