package org.foxtailford.core.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailford.core.util.Assert;
import org.foxtailford.core.util.RendezvousHashing;

/**
 * This VM's part of the requests that a cold upstream bears.
 *
 * <p>As many entry VMs as the upstream bears requests a second may send one each second. They are
 * drawn by the upstream's id, so that all VMs agree without a message. Answers the load pattern of
 * a data centre whose upstreams come back cold together. Not thread-safe.
 */
public final class ColdUpstreamRateLimiter {

  /** Time after which an upstream without requests is forgotten, in milliseconds; some warm-ups. */
  private static final long FORGET_MS = 60_000;

  private final String node;
  private final Map<String, Long> nextMs = new HashMap<>();
  private final Map<String, Draw> draws = new HashMap<>();
  private Collection<String> drawnAmong = List.of();

  /** Whether this VM was drawn for an upstream, for how many places. */
  private record Draw(int senders, boolean chosen) {}

  /** Creates the allowance of an entry VM. */
  public ColdUpstreamRateLimiter(String node) {
    this.node = Assert.hasLength(node, "node");
  }

  /** Returns whether this VM may send a request to a cold upstream now. */
  public boolean maySend(
      String upstream, double requestsPerSecond, Collection<String> entryVms, long nowMs) {
    return nowMs >= nextMs.getOrDefault(upstream, Long.MIN_VALUE)
        && intervalMs(upstream, requestsPerSecond, entryVms) > 0;
  }

  /** Counts a request to a cold upstream. */
  public void recordSend(
      String upstream, double requestsPerSecond, Collection<String> entryVms, long nowMs) {
    nextMs.put(upstream, nowMs + intervalMs(upstream, requestsPerSecond, entryVms));
    nextMs.values().removeIf(next -> next < nowMs - FORGET_MS);
  }

  private long intervalMs(String upstream, double requestsPerSecond, Collection<String> entryVms) {
    int senders = (int) Math.max(1, Math.min(entryVms.size(), requestsPerSecond));
    boolean chosen = requestsPerSecond > 0 && isChosen(upstream, senders, entryVms);
    return chosen ? (long) (1000 * senders / requestsPerSecond) : 0;
  }

  /** Draws again only when the entry VMs change, since each request asks for each upstream. */
  private boolean isChosen(String upstream, int senders, Collection<String> entryVms) {
    if (!drawnAmong.equals(entryVms)) {
      drawnAmong = entryVms;
      draws.clear();
    }
    Draw known = draws.get(upstream);
    if (known != null && known.senders() == senders) {
      return known.chosen();
    }
    List<String> drawn = new ArrayList<>(entryVms);
    if (!drawn.contains(node)) {
      drawn.add(node);
    }
    boolean chosen = RendezvousHashing.rank(upstream, drawn).indexOf(node) < senders;
    draws.put(upstream, new Draw(senders, chosen));
    return chosen;
  }
}
