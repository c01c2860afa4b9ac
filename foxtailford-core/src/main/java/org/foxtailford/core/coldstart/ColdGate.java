package org.foxtailford.core.coldstart;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
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

  private final int allowance;
  private final long warmUpMs;
  private final long requestTimeoutMs;
  private final WarmthPublisher publisher;
  private final Map<String, State> states = new HashMap<>();

  /**
   * Creates a gate that knows of no warm upstream.
   *
   * @param allowance requests that a cold upstream bears at once
   * @param warmUpMs time for which an upstream stays cold under work, in milliseconds
   * @param requestTimeoutMs longest time of a request to a cold upstream, in milliseconds
   * @param publisher tells other entry VMs of a warm upstream
   */
  public ColdGate(int allowance, long warmUpMs, long requestTimeoutMs, WarmthPublisher publisher) {
    Assert.isTrue(allowance > 0, "allowance must be positive");
    this.allowance = allowance;
    this.warmUpMs = warmUpMs;
    this.requestTimeoutMs = requestTimeoutMs;
    this.publisher = Assert.notNull(publisher, "publisher");
  }

  private static final class State {
    private boolean connected;
    private long bootId;
    private long coldSinceMs = NONE;
    private long warmBootId;
    private boolean warmKnown;
    private long leaseUntilMs = NONE;
    private int coldInFlight;
    private final Queue<Long> lingeringUntilMs = new ArrayDeque<>();

    private boolean isWarm() {
      return warmKnown && warmBootId == bootId;
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

  /** Notes that another entry VM saw one start of an upstream warm up. */
  public synchronized void onWarm(String upstream, long bootId) {
    State state = state(upstream);
    state.warmBootId = bootId;
    state.warmKnown = true;
  }

  /** Notes the boot id that the upstream gave on its connections. */
  public synchronized void onConnected(String upstream, long bootId, long nowMs) {
    State state = state(upstream);
    if (!state.connected || state.bootId != bootId) {
      boolean restarted = state.bootId != bootId;
      state.connected = true;
      state.bootId = bootId;
      state.coldSinceMs = nowMs;
      if (restarted) {
        state.coldInFlight = 0;
        state.lingeringUntilMs.clear();
      }
    }
  }

  /** Notes that the connections to an upstream were reset or closed. */
  public synchronized void onDisconnected(String upstream) {
    state(upstream).connected = false;
  }

  /** Notes that an upstream refused a request because it is cold. */
  public synchronized void onColdRefusal(String upstream, long nowMs) {
    State state = state(upstream);
    state.warmKnown = false;
    state.coldSinceMs = nowMs;
  }

  /**
   * Asks to send a request; refuses if another entry VM holds the gate, the allowance is in use, or
   * the boot id is not known.
   */
  @Override
  public synchronized Optional<ColdTicket> tryStart(String upstream, long nowMs) {
    State state = state(upstream);
    if (!state.connected) {
      return Optional.empty();
    }
    boolean holder = nowMs < state.leaseUntilMs;
    if (!state.isWarm() && holder && nowMs - state.coldSinceMs >= warmUpMs) {
      state.warmBootId = state.bootId;
      state.warmKnown = true;
      publisher.warm(upstream, state.bootId);
    }
    if (state.isWarm()) {
      return Optional.of(new ColdTicket(upstream, state.bootId, false, nowMs, Long.MAX_VALUE));
    }
    while (!state.lingeringUntilMs.isEmpty() && nowMs >= state.lingeringUntilMs.element()) {
      state.lingeringUntilMs.remove();
      state.coldInFlight--;
    }
    if (!holder || state.coldInFlight >= allowance) {
      return Optional.empty();
    }
    state.coldInFlight++;
    return Optional.of(new ColdTicket(upstream, state.bootId, true, nowMs, requestTimeoutMs));
  }

  /** Notes the end of a request; an uncertain one keeps its place until its timeout. */
  @Override
  public synchronized void ended(ColdTicket ticket, boolean certain) {
    State state = state(ticket.upstream());
    if (!ticket.cold() || ticket.bootId() != state.bootId) {
      return;
    }
    if (certain) {
      state.coldInFlight--;
    } else {
      state.lingeringUntilMs.add(ticket.startedMs() + ticket.maxTimeoutMs());
    }
  }

  /** Tells whether there is evidence that an upstream is warm. */
  public synchronized boolean isWarm(String upstream) {
    State state = state(upstream);
    return state.connected && state.isWarm();
  }
}
