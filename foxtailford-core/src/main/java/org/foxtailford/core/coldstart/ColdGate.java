package org.foxtailford.core.coldstart;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.foxtailford.core.util.Assert;

/**
 * Decides on an entry VM whether it may send a request to an upstream now, as its side of slow
 * start. Thread-safe.
 *
 * <p>An upstream counts as cold unless the incarnation at the other end of the connection is known
 * to be warm. Requests are sent only on connections whose boot id is known, so that an unannounced
 * restart, which breaks the connection, also invalidates what was known. A cold upstream gets
 * requests only from the VM that holds its gate, at most {@link ColdStartLimits#maxConcurrent} at
 * once, each with a timeout after which the upstream no longer runs it.
 */
public final class ColdGate implements ColdStartAdmission {

  private static final long UNSET = Long.MIN_VALUE;

  private final Function<String, Optional<ColdStartLimits>> limits;
  private final WarmUpPublisher publisher;
  private final Map<String, State> states = new HashMap<>();

  /**
   * Creates a gate to which every upstream is cold.
   *
   * @param limits returns the limits of an upstream by its name; empty if it needs no slow start
   * @param publisher notifies the other entry VMs when an upstream has warmed up
   */
  public ColdGate(Function<String, Optional<ColdStartLimits>> limits, WarmUpPublisher publisher) {
    this.limits = Assert.notNull(limits, "limits");
    this.publisher = Assert.notNull(publisher, "publisher");
  }

  private static final class State {
    private boolean connected;
    private long bootId;
    private long coldSinceMs = UNSET;
    private long lastRefusalMs = UNSET;
    private long warmBootId;
    private boolean warmKnown;
    private long leaseUntilMs = UNSET;
    private final Map<Long, ColdSlots> slotsByBootId = new HashMap<>();

    // Not required to be connected: the connected boot id is kept after a disconnection.
    private boolean isWarm() {
      return warmKnown && warmBootId == bootId;
    }

    private ColdSlots slots(long ofBootId) {
      return slotsByBootId.computeIfAbsent(ofBootId, id -> new ColdSlots());
    }
  }

  private State state(String upstream) {
    return states.computeIfAbsent(upstream, name -> new State());
  }

  /** Applies a lease from the leader; one that ends earlier than a known one has no effect. */
  public synchronized void onLease(GateLease lease) {
    long untilMs = lease.asOfMs() + lease.ttlMs();
    for (String upstream : lease.upstreams()) {
      State state = state(upstream);
      state.leaseUntilMs = Math.max(state.leaseUntilMs, untilMs);
    }
  }

  /**
   * Records that another entry VM observed that an incarnation of an upstream has warmed up.
   *
   * <p>Ignored if that incarnation or the connected one is already known to be warm, or if the
   * upstream refused a request as cold less than its warm-up time ago.
   *
   * @return whether this changed the recorded state
   */
  public synchronized boolean onWarm(String upstream, long bootId, long nowMs) {
    State state = state(upstream);
    boolean known = state.warmKnown && state.warmBootId == bootId;
    boolean current = state.connected && state.isWarm();
    if (known || current || wasRefusedRecently(upstream, state, nowMs)) {
      return false;
    }
    state.warmBootId = bootId;
    state.warmKnown = true;
    return true;
  }

  private boolean wasRefusedRecently(String upstream, State state, long nowMs) {
    long warmUpMs = limits.apply(upstream).map(ColdStartLimits::warmUpMs).orElse(0L);
    return state.lastRefusalMs != UNSET && nowMs - state.lastRefusalMs < warmUpMs;
  }

  /**
   * Records the boot id that an upstream reported on one of its connections.
   *
   * @return whether the previously connected incarnation had a different boot id
   */
  public synchronized boolean onConnected(String upstream, long bootId, long nowMs) {
    State state = state(upstream);
    boolean restarted = state.coldSinceMs != UNSET && state.bootId != bootId;
    if (!state.connected || state.bootId != bootId) {
      state.connected = true;
      state.bootId = bootId;
      state.coldSinceMs = nowMs;
      state.lastRefusalMs = UNSET;
      state.slotsByBootId.values().removeIf(slots -> slots.isIdle(nowMs));
    }
    return restarted;
  }

  /** Records that the connections to an upstream were reset or closed. */
  public synchronized void onDisconnected(String upstream) {
    state(upstream).connected = false;
  }

  @Override
  public synchronized void onColdRefusal(String upstream, long nowMs) {
    State state = state(upstream);
    state.warmKnown = false;
    state.coldSinceMs = nowMs;
    state.lastRefusalMs = nowMs;
  }

  /**
   * Requests permission to send a request. The result is empty if the boot id is not known, or if
   * the upstream is cold and this VM doesn't hold its gate or has all its slots in use.
   */
  @Override
  public synchronized Optional<ColdStartPermit> tryStart(String upstream, long nowMs) {
    Optional<ColdStartLimits> upstreamLimits = limits.apply(upstream);
    if (upstreamLimits.isEmpty()) {
      return Optional.of(ColdStartPermit.unguarded(upstream, nowMs));
    }
    State state = state(upstream);
    if (!state.connected) {
      return Optional.empty();
    }
    boolean holdsGate = nowMs < state.leaseUntilMs;
    if (!state.isWarm()
        && holdsGate
        && nowMs - state.coldSinceMs >= upstreamLimits.get().warmUpMs()) {
      state.warmBootId = state.bootId;
      state.warmKnown = true;
      publisher.publishWarm(upstream, state.bootId);
    }
    if (state.isWarm()) {
      return Optional.of(new ColdStartPermit(upstream, state.bootId, false, nowMs, Long.MAX_VALUE));
    }
    if (!holdsGate
        || !state.slots(state.bootId).tryAcquire(upstreamLimits.get().maxConcurrent(), nowMs)) {
      return Optional.empty();
    }
    long timeoutMs = upstreamLimits.get().requestTimeoutMs();
    return Optional.of(new ColdStartPermit(upstream, state.bootId, true, nowMs, timeoutMs));
  }

  /**
   * Records the end of a request. Without confirmation the slot is released only after the timeout
   * of the request plus its transit time, when the upstream can no longer be running it.
   */
  @Override
  public synchronized void recordEnd(ColdStartPermit permit, boolean confirmed) {
    if (!permit.cold()) {
      return;
    }
    ColdSlots slots = state(permit.upstream()).slots(permit.bootId());
    if (confirmed) {
      slots.release();
    } else {
      slots.releaseAt(permit.deadlineMs() + GateTiming.TRANSIT_MS);
    }
  }

  /** Returns whether the boot id of an upstream is known. */
  public synchronized boolean isBootIdKnown(String upstream) {
    return state(upstream).connected;
  }

  /** Returns the boot id of each upstream with an incarnation known to be warm, by its name. */
  public synchronized Map<String, Long> warmBootIds() {
    Map<String, Long> warm = new TreeMap<>();
    states.forEach(
        (upstream, state) -> {
          if (state.warmKnown) {
            warm.put(upstream, state.warmBootId);
          }
        });
    return warm;
  }

  /** Returns whether an upstream is connected and its incarnation is known to be warm. */
  public synchronized boolean isWarm(String upstream) {
    State state = state(upstream);
    return state.connected && state.isWarm();
  }
}
