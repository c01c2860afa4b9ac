package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.OwnerLossPolicy;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamPath;
import org.foxtailford.core.upstream.UpstreamReach;
import org.foxtailford.core.util.Assert;

/**
 * Has other entry VMs serve single requests while this one reaches some upstreams but none that has
 * room for them. Probes upstreams that are silent or out of reach. Confined to the event loop.
 */
final class PartialReachRelay {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long CHECK_INTERVAL_MS = 100;

  /**
   * Maximum number of peers that are asked to serve a request, of which each may refuse it; several
   * VMs can lose the same upstreams. Peers that are cut off from all upstreams don't count.
   */
  private static final int MAX_PEERS = 3;

  /** Time without an answer of a peer until it is taken for silent, by the service's average. */
  private static final double PEER_SILENCE_FACTOR = 4;

  private static final String SILENT_PEER = "peer silent";
  private static final String SILENT_UPSTREAM = "upstream out of reach";

  private final UpstreamReach reach;
  private final UpstreamPath path;
  private final RequestRelay relay;
  private final UpstreamRegistry registry;
  private final UpstreamSelector upstreams;
  private final RequestScheduler scheduler;
  private final MillisClock clock;

  PartialReachRelay(
      UpstreamReach reach,
      RequestRelay relay,
      UpstreamRegistry registry,
      UpstreamSelector upstreams,
      RequestScheduler scheduler,
      MillisClock clock) {
    this.reach = Assert.notNull(reach, "reach");
    this.relay = Assert.notNull(relay, "relay");
    this.path = relay.path();
    this.registry = Assert.notNull(registry, "registry");
    this.upstreams = Assert.notNull(upstreams, "upstreams");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Starts the periodic checks on the event loop. */
  void start(ScheduledExecutorService loop) {
    loop.scheduleWithFixedDelay(
        this::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Relays a request for which no upstream that this VM reaches has room, if another VM may have
   * one.
   *
   * @return whether it was relayed
   */
  boolean tryRelay(RequestCall call) {
    return mayRelay(call) && relay.tryRelay(call, subject(call));
  }

  private boolean mayRelay(RequestCall call) {
    if (!reach.hasUnreached()
        || call.isRelayed()
        || call.history().triedPeers().size() - call.history().cutOffPeers() >= MAX_PEERS) {
      return false;
    }
    return reach.mayRelay(subject(call), () -> unreachedSlots(call));
  }

  private int unreachedSlots(RequestCall call) {
    int slots = 0;
    for (UpstreamEntry entry : upstreams.candidates(call)) {
      slots += reach.isUnreached(entry.id()) ? entry.slots() : 0;
    }
    return slots;
  }

  /** Returns the owner of a request's key, or its service if it has none. */
  private String subject(RequestCall call) {
    return call.service().keyed()
        ? upstreams.candidates(call).stream()
            .map(UpstreamEntry::incarnation)
            .findFirst()
            .orElse(call.service().name())
        : call.service().name();
  }

  /** Records that no connection to an upstream could be opened. */
  void recordFailure(UpstreamHandle upstream) {
    String id = upstream.entry().id();
    path.recordFailure(id);
    boolean current = registry.find(id).filter(known -> known == upstream).isPresent();
    if (current && reach.recordFailure(id)) {
      logger.atInfo().with(EventFields.UPSTREAM, id).log("upstream out of reach");
    }
  }

  /** Records the end of a relayed request, and whether an upstream of another VM answered it. */
  void recordRelayEnd(String subject, boolean served) {
    reach.recordRelayEnd(subject, served);
  }

  /** Records that a relay tells nothing of its subject: the peer is cut off, or it was not sent. */
  void recordRelayWithoutOutcome(String subject) {
    reach.recordRelayWithoutOutcome(subject);
  }

  /** Handles that this VM is cut off from all upstreams, or no longer. */
  void onPathChanged() {
    reach.clear();
    if (!path.isCutOff()) {
      registry.all().forEach(upstream -> upstream.load().endSuspension());
    } else if (path.isSilent()) {
      for (UpstreamHandle upstream : registry.all()) {
        upstream.pool().abandonIdle();
        List.copyOf(upstream.running()).forEach(RequestCall::abandonUnreachable);
      }
    }
  }

  private void check() {
    if (path.isCutOff()) {
      return; // the probes of the path find out when that ends
    }
    List<UpstreamHandle> known = registry.all();
    if (reach.hasUnreached()) {
      reach.retain(known.stream().map(handle -> handle.entry().id()).collect(Collectors.toSet()));
    }
    for (UpstreamHandle upstream : known) {
      String id = upstream.entry().id();
      boolean silent = isSilent(upstream);
      if ((silent || reach.isUnreached(id)) && reach.beginProbe(id)) {
        upstream.pool().probe(failure -> onProbed(upstream, failure.isEmpty()));
      }
      if (silent && reach.isUnreached(id)) {
        relayRunning(upstream);
      }
    }
  }

  private boolean isSilent(UpstreamHandle upstream) {
    double workMs = upstream.load().workMs(upstreams.averageMs(upstream.entry().service()));
    return OwnerLossPolicy.isLost(false, false, upstream.load().silentMs(clock.nowMs()), workMs);
  }

  private void onProbed(UpstreamHandle upstream, boolean connected) {
    String id = upstream.entry().id();
    if (connected) {
      if (reach.recordContact(id)) {
        logger.atInfo().with(EventFields.UPSTREAM, id).log("upstream in reach again");
        upstream.load().endSuspension();
        scheduler.sendWaiting(upstream.entry().service());
      }
      return;
    }
    recordFailure(upstream);
    if (isSilent(upstream)) {
      upstream.pool().abandonIdle();
      relayRunning(upstream);
    }
    if (!upstream.pool().hasIdle()) {
      upstream.load().recordUnreachable(clock.nowMs());
    }
  }

  /**
   * Relays idempotent requests at an upstream that is silent and out of reach. It may still answer,
   * so nothing is ended there.
   */
  private void relayRunning(UpstreamHandle upstream) {
    for (RequestCall call : List.copyOf(upstream.running())) {
      boolean eligible =
          call.route().kind().isIdempotent()
              && call.canRetry()
              && !call.hasSeveralAttempts()
              && call.history().triedPeers().size() == call.history().cutOffPeers()
              && !scheduler.poison().isStopped(call);
      if (eligible && mayRelay(call)) {
        if (!scheduler.tryRetry(call, SILENT_UPSTREAM)) {
          return;
        }
        relay.tryRelay(call, subject(call));
      }
    }
  }

  /**
   * Has a relayed request that may be repeated served in another way if its peer answers nothing
   * for too long, neither this request nor another one; the peer may still answer.
   */
  void watch(RequestCall call, PeerAttempt attempt) {
    if (call.route().kind().isIdempotent()) {
      double averageMs = upstreams.averageMs(call.service().name());
      double silenceMs = Math.max(OwnerLossPolicy.MIN_SILENCE_MS, PEER_SILENCE_FACTOR * averageMs);
      long delayMs = attempt.silentSinceMs() + (long) silenceMs - clock.nowMs();
      scheduler.schedule(Math.max(1, delayMs), () -> checkPeer(call, attempt, (long) silenceMs));
    }
  }

  private void checkPeer(RequestCall call, PeerAttempt attempt, long silenceMs) {
    if (call.isFinished() || !attempt.isAwaited()) {
      return;
    }
    if (clock.nowMs() - attempt.silentSinceMs() < silenceMs) {
      watch(call, attempt);
      return;
    }
    attempt.recordSilence();
    if (call.canRetry() && scheduler.tryRetry(call, SILENT_PEER) && !scheduler.trySend(call)) {
      relay.tryRelay(call, attempt.subject());
    }
  }
}
