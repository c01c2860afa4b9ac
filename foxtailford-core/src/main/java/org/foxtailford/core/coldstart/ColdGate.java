package org.foxtailford.core.coldstart;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.foxtailford.core.util.Assert;

/**
 * An entry VM's part of slow start: decides whether it may send to an upstream now. Thread-safe.
 *
 * <p>An upstream is cold unless there is evidence that the start to which the connection belongs is
 * warm. Work goes out only on connections whose boot id is known, so that a restart without warning
 * ends the evidence with the connection. To a cold upstream only the holder of its gate sends, no
 * more than the allowance at once, with a timeout after which the upstream has dropped the request.
 */
public final class ColdGate implements ColdStartAdmission {

  private static final long NONE = Long.MIN_VALUE;

  private final Function<String, Optional<ColdStartLimits>> limits;
  private final WarmUpPublisher publisher;
  private final Map<String, State> states = new HashMap<>();

  /**
   * Creates a gate that knows of no warm upstream.
   *
   * @param limits gives what an upstream bears in a cold start; empty if it has none
   * @param publisher tells other entry VMs of a warm upstream
   */
  public ColdGate(Function<String, Optional<ColdStartLimits>> limits, WarmUpPublisher publisher) {
    this.limits = Assert.notNull(limits, "limits");
    this.publisher = Assert.notNull(publisher, "publisher");
  }

  private static final class State {
    private boolean connected;
    private long bootId;
    private long coldSinceMs = NONE;
    private long refusedMs = NONE;
    private long warmBootId;
    private boolean warmKnown;
    private long leaseUntilMs = NONE;
    private final Map<Long, ColdSlots> places = new HashMap<>();

    private boolean isWarm() {
      return warmKnown && warmBootId == bootId;
    }

    private ColdSlots places(long ofBootId) {
      return places.computeIfAbsent(ofBootId, id -> new ColdSlots());
    }
  }

  private State state(String upstream) {
    return states.computeIfAbsent(upstream, name -> new State());
  }

  /** Takes over a lease from the leader. */
  public synchronized void onLease(GateLease lease) {
    long untilMs = lease.asOfMs() + lease.ttlMs();
    for (String upstream : lease.upstreams()) {
      State state = state(upstream);
      state.leaseUntilMs = Math.max(state.leaseUntilMs, untilMs);
    }
  }

  /**
   * Notes that another entry VM saw one start of an upstream warm up.
   *
   * @return whether this was news
   */
  public synchronized boolean onWarm(String upstream, long bootId, long nowMs) {
    State state = state(upstream);
    boolean known = state.warmKnown && state.warmBootId == bootId;
    boolean current = state.connected && state.isWarm();
    if (known || current || refusedLately(upstream, state, nowMs)) {
      return false;
    }
    state.warmBootId = bootId;
    state.warmKnown = true;
    return true;
  }

  private boolean refusedLately(String upstream, State state, long nowMs) {
    long warmUpMs = limits.apply(upstream).map(ColdStartLimits::warmUpMs).orElse(0L);
    return state.refusedMs != NONE && nowMs - state.refusedMs < warmUpMs;
  }

  /**
   * Notes the boot id that the upstream gave on one of its connections.
   *
   * @return whether an earlier connection had another boot id
   */
  public synchronized boolean onConnected(String upstream, long bootId, long nowMs) {
    State state = state(upstream);
    boolean restarted = state.coldSinceMs != NONE && state.bootId != bootId;
    if (!state.connected || state.bootId != bootId) {
      state.connected = true;
      state.bootId = bootId;
      state.coldSinceMs = nowMs;
      state.refusedMs = NONE;
      state.places.values().removeIf(places -> places.isFree(nowMs));
    }
    return restarted;
  }

  /** Notes that the connections to an upstream were reset or closed. */
  public synchronized void onDisconnected(String upstream) {
    state(upstream).connected = false;
  }

  @Override
  public synchronized void onColdRefusal(String upstream, long nowMs) {
    State state = state(upstream);
    state.warmKnown = false;
    state.coldSinceMs = nowMs;
    state.refusedMs = nowMs;
  }

  /**
   * Asks to send a request; refuses if another entry VM holds the gate, the allowance is in use, or
   * the boot id is not known.
   */
  @Override
  public synchronized Optional<ColdStartPermit> tryStart(String upstream, long nowMs) {
    Optional<ColdStartLimits> guarded = limits.apply(upstream);
    if (guarded.isEmpty()) {
      return Optional.of(ColdStartPermit.unguarded(upstream, nowMs));
    }
    State state = state(upstream);
    if (!state.connected) {
      return Optional.empty();
    }
    boolean holder = nowMs < state.leaseUntilMs;
    if (!state.isWarm() && holder && nowMs - state.coldSinceMs >= guarded.get().warmUpMs()) {
      state.warmBootId = state.bootId;
      state.warmKnown = true;
      publisher.publishWarm(upstream, state.bootId);
    }
    if (state.isWarm()) {
      return Optional.of(new ColdStartPermit(upstream, state.bootId, false, nowMs, Long.MAX_VALUE));
    }
    if (!holder || !state.places(state.bootId).tryTake(guarded.get().maxConcurrent(), nowMs)) {
      return Optional.empty();
    }
    long timeoutMs = guarded.get().requestTimeoutMs();
    return Optional.of(new ColdStartPermit(upstream, state.bootId, true, nowMs, timeoutMs));
  }

  /** Notes the end of a request; an uncertain one keeps its place until its timeout. */
  @Override
  public synchronized void recordEnd(ColdStartPermit ticket, boolean certain) {
    if (!ticket.cold()) {
      return;
    }
    ColdSlots places = state(ticket.upstream()).places(ticket.bootId());
    if (certain) {
      places.free();
    } else {
      places.freeAt(ticket.deadlineMs() + GateTiming.TRANSIT_MS);
    }
  }

  /** Tells whether the boot id of an upstream is known. */
  public synchronized boolean isBootIdKnown(String upstream) {
    return state(upstream).connected;
  }

  /** Returns the boot ids of the upstreams that are known to be warm. */
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

  /** Tells whether there is evidence that an upstream is warm. */
  public synchronized boolean isWarm(String upstream) {
    State state = state(upstream);
    return state.connected && state.isWarm();
  }
}
