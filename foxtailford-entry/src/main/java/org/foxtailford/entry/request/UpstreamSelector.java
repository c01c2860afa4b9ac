package org.foxtailford.entry.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.foxtailford.core.overload.ColdUpstreamRateLimiter;
import org.foxtailford.core.overload.MisdirectionPauses;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.route.RequestKind;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamChooser;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.foxtailford.core.upstream.UpstreamPath;
import org.foxtailford.core.upstream.UpstreamReach;
import org.foxtailford.core.util.Assert;

/**
 * Finds the upstreams that may serve a request and have room for it, and what is expected of them.
 * Confined to the event loop.
 */
public final class UpstreamSelector {

  /**
   * Penalty for an upstream in another data centre, as a fraction of the latency target; higher for
   * bulk requests, since traffic between data centres is billed by the byte.
   */
  private static final double BULK_REMOTE_PENALTY = 0.5;

  private static final double REMOTE_PENALTY = 0.03;

  /** Requests that an owner may have per slot; above 1 since no other upstream can run them. */
  private static final double MAX_OWNER_OCCUPANCY = 1.75;

  /**
   * Fraction of the drain time for which an owner that said that it is leaving still gets requests
   * for its keys, which nobody else can serve until they have moved. The rest of the drain time is
   * left to the registration, which tells the same to all VMs.
   */
  private static final double LEAVING_OWNER_SHARE = 0.25;

  /** Fraction of an upstream's connections used for requests; the rest is for range commands. */
  private static final double CONNECTION_SHARE = 0.9;

  /** Assumed average time of a service before its first answer, in milliseconds. */
  private static final double INITIAL_AVERAGE_MS = 100;

  private static final double AVERAGE_WEIGHT = 0.05;

  private final MillisClock clock;
  private final RoutingView view;
  private final UpstreamRegistry registry;
  private final String dataCentre;
  private final long leavingOwnerMs;
  private final UpstreamChooser chooser;
  private final ColdUpstreamRateLimiter coldRateLimiter;
  private final OwnerSendPacing ownerPacing;
  private final UpstreamPath path;
  private final ExpectedCosts costs;
  private final UpstreamReach reach;
  private final MisdirectionPauses misdirections = new MisdirectionPauses();
  private final Map<String, Double> averageMsByService = new HashMap<>();

  /**
   * Creates a selector.
   *
   * @param costs expected costs of requests, by which upstreams are chosen where they are known
   * @param drainMs time after an upstream's leaving is known in which the last request must reach
   *     it, in milliseconds
   */
  public UpstreamSelector(
      UpstreamPath path,
      UpstreamReach reach,
      MillisClock clock,
      RoutingView view,
      UpstreamRegistry registry,
      DoubleSupplier random,
      VmLocation location,
      ExpectedCosts costs,
      long drainMs) {
    this.path = Assert.notNull(path, "path");
    this.reach = Assert.notNull(reach, "reach");
    this.clock = Assert.notNull(clock, "clock");
    this.view = Assert.notNull(view, "view");
    this.registry = Assert.notNull(registry, "registry");
    this.dataCentre = location.dataCentre();
    this.leavingOwnerMs = (long) (LEAVING_OWNER_SHARE * drainMs);
    this.chooser = new UpstreamChooser(random);
    this.coldRateLimiter = new ColdUpstreamRateLimiter(location.node());
    this.costs = Assert.notNull(costs, "costs");
    this.ownerPacing = new OwnerSendPacing(view, clock, this::workMs);
  }

  ExpectedCosts costs() {
    return costs;
  }

  OwnerSendPacing ownerPacing() {
    return ownerPacing;
  }

  /**
   * Returns an upstream that can take a request now; empty if none can.
   *
   * @param suspect whether the request is suspected of ending upstreams, so that it must not run
   *     beside another such request
   */
  Optional<UpstreamHandle> findFree(RequestCall call, boolean suspect) {
    return call.service().keyed()
        ? findFreeOwner(call).filter(owner -> !suspect || !owner.hasTrial())
        : findFreeUpstream(call, false, suspect);
  }

  /** Returns an upstream without a queue that can take a request now; empty if none can. */
  Optional<UpstreamHandle> findIdle(RequestCall call) {
    return findFreeUpstream(call, true, false);
  }

  /** Records that a request is sent to an upstream. */
  void recordSend(RequestCall call, UpstreamHandle upstream) {
    ServicePolicy service = call.service();
    String id = upstream.entry().id();
    if (view.upstreams().isCold(id, clock.nowMs())) {
      coldRateLimiter.recordSend(
          id, service.coldRequestsPerSecond(), view.entryVms(), clock.nowMs());
    }
    if (service.keyed()) {
      ownerPacing.recordSend(upstream, costs.relativeCost(call));
    }
    upstream.limit().recordSend(clock.nowMs());
  }

  /** Records the time of an answer of a service, in milliseconds. */
  void recordLatency(String service, double tookMs) {
    averageMsByService.merge(service, tookMs, (old, took) -> old + AVERAGE_WEIGHT * (took - old));
  }

  /**
   * Records that an upstream has disowned a key, unless a newer owner is known. Requests for the
   * range wait until a newer map of the owners may be there.
   *
   * @return whether the upstream is the owner as far as is known
   */
  boolean recordMisdirection(RequestCall call, UpstreamHandle upstream) {
    Optional<RangeAssignment> assignment =
        owner(call).filter(a -> a.owner().upstream().equals(upstream.entry().id()));
    assignment.ifPresent(
        a -> {
          misdirections.recordRejection(call.key().getAsInt(), a.fence(), clock.nowMs());
          call.recordDisowned(a.fence());
        });
    return assignment.isPresent();
  }

  /** Forgets what is outdated. */
  void removeOutdated() {
    misdirections.removeOutdated(clock.nowMs());
  }

  /**
   * Returns whether all upstreams that may serve a request have asked for a pause that has not
   * ended.
   */
  boolean isPaused(RequestCall call) {
    return candidates(call).stream()
        .allMatch(entry -> registry.getOrCreate(entry).load().pausedUntilMs() > clock.nowMs());
  }

  /** Returns the expected service time of a request, in milliseconds. */
  double workMs(RequestCall call) {
    return costs.expectedMs(call).orElseGet(() -> averageMs(call.service().name()));
  }

  /** Returns the expected service time of an average request at an upstream, in milliseconds. */
  private double workMs(UpstreamHandle upstream) {
    return costs
        .workMs(upstream)
        .orElseGet(() -> upstream.load().workMs(averageMs(upstream.entry().service())));
  }

  /** Returns the average time of a service's answers, in milliseconds. */
  double averageMs(String service) {
    return averageMsByService.getOrDefault(service, INITIAL_AVERAGE_MS);
  }

  /**
   * Returns when the first upstream that may serve a request ends its suspension or pause, in
   * milliseconds; at most the present if one is not suspended. A request that may not wait for so
   * long is refused at once: its caller may reach another entry VM with better connections.
   */
  long suspendedUntilMs(RequestCall call) {
    return candidates(call).stream()
        .mapToLong(entry -> registry.getOrCreate(entry).load().suspendedUntilMs())
        .min()
        .orElse(0);
  }

  /** Returns the owner of a request's key, or all usable upstreams for a request without key. */
  Collection<UpstreamEntry> candidates(RequestCall call) {
    return call.service().keyed()
        ? owner(call)
            .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
            .map(List::of)
            .orElse(List.of())
        : view.upstreams().usable(call.service().name());
  }

  /**
   * Returns the expected rate at which this VM's waiting requests are sent, per second: the
   * capacity of the upstreams, divided in proportion to the requests that this and other VMs have
   * there.
   */
  double expectedSendRate(RequestCall call) {
    long nowMs = clock.nowMs();
    double perSecond = 0;
    double own = 1;
    double total = 1;
    for (UpstreamEntry entry : candidates(call)) {
      UpstreamHandle handle = registry.getOrCreate(entry);
      UpstreamLoad load = handle.load();
      if (!load.isSuspended(nowMs)) {
        if (call.service().keyed() && handle.pacer().isFull(nowMs)) {
          return 1000 / Math.max(1, ownerPacing.intervalMs(handle));
        }
        double workPerSecond = load.slots() * 1000 / Math.max(1, workMs(handle));
        perSecond +=
            Math.min(workPerSecond, handle.limit().perSecond(view.entryVms().size(), nowMs));
        own += load.inFlight();
        total += load.occupied(nowMs);
      }
    }
    return perSecond * own / total;
  }

  /** Returns when the owner may get a request, in milliseconds; negative if no owner is usable. */
  long ownerReadyMs(RequestCall call, long nowMs) {
    return owner(call)
        .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
        .filter(entry -> view.upstreams().mayServeKeys(entry, leavingOwnerMs, nowMs))
        .map(registry::getOrCreate)
        .map(owner -> readyMs(owner, nowMs))
        .orElse(-1L);
  }

  private long readyMs(UpstreamHandle owner, long nowMs) {
    long pacedMs = Math.max(owner.pacer().nextSendMs(nowMs), limitedUntilMs(owner, nowMs));
    return Math.max(owner.load().suspendedUntilMs(), pacedMs);
  }

  /** Returns whether the key of a request is being moved, so that it waits for its next owner. */
  boolean isBeingMoved(RequestCall call, long nowMs) {
    return owner(call).filter(assignment -> isBeingMoved(call, assignment, nowMs)).isPresent();
  }

  /** Returns whether a request for a key waits for a newer assignment. */
  private boolean isBeingMoved(RequestCall call, RangeAssignment assignment, long nowMs) {
    int key = call.key().getAsInt();
    return call.isDisowned(assignment.fence())
        || misdirections.isPaused(key, assignment.fence(), nowMs)
        || view.isBeingMoved(call.service().name(), key, assignment.fence());
  }

  /** Returns whether an upstream that may serve a request has no room for its body. */
  boolean isLimitedByBytes(RequestCall call) {
    long bodyBytes = call.exchange().bodyBytes();
    return bodyBytes > 0
        && candidates(call).stream()
            .anyMatch(entry -> !registry.getOrCreate(entry).byteLimit().hasRoom(bodyBytes));
  }

  /** Returns why a request for a key may not be sent to its owner yet. */
  String whyOwnerIsNotReady(RequestCall call, long nowMs) {
    Optional<UpstreamHandle> owner =
        owner(call)
            .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
            .map(registry::getOrCreate);
    if (owner.isPresent() && owner.get().pacer().isFull(nowMs)) {
      return "owner is full";
    }
    boolean limited = owner.isPresent() && limitedUntilMs(owner.get(), nowMs) > nowMs;
    return limited ? "owner has named a limit" : "owner out of reach";
  }

  private long limitedUntilMs(UpstreamHandle upstream, long nowMs) {
    return upstream.limit().nextSendMs(view.entryVms().size(), nowMs);
  }

  boolean hasSameOwner(RequestCall a, RequestCall b) {
    Optional<RangeAssignment> ownerOfA = owner(a);
    return ownerOfA.isPresent()
        && b.key().isPresent()
        && ownerOfA.get().owner().equals(owner(b).map(RangeAssignment::owner).orElse(null));
  }

  Optional<RangeAssignment> owner(RequestCall call) {
    return call.key().isPresent()
        ? view.owners(call.service().name()).find(call.key().getAsInt())
        : Optional.empty();
  }

  private Optional<UpstreamHandle> findFreeOwner(RequestCall call) {
    long nowMs = clock.nowMs();
    Optional<RangeAssignment> assignment = owner(call);
    if (assignment.isEmpty()) {
      return Optional.empty();
    }
    if (isBeingMoved(call, assignment.get(), nowMs)) {
      return Optional.empty();
    }
    Optional<UpstreamEntry> entry = view.upstreams().find(assignment.get().owner().upstream());
    if (entry.isEmpty()
        || entry.get().bornMs() != assignment.get().owner().bornMs()
        || !view.upstreams().mayServeKeys(entry.get(), leavingOwnerMs, nowMs)) {
      return Optional.empty();
    }
    UpstreamHandle handle = registry.getOrCreate(entry.get());
    handle.pool().setMaxConnections(connectionShare(call.service()));
    boolean available =
        !handle.load().isSuspended(nowMs)
            && handle.pacer().nextSendMs(nowMs) <= nowMs
            && limitedUntilMs(handle, nowMs) <= nowMs
            && hasConnection(handle)
            && handle.byteLimit().hasRoom(call.exchange().bodyBytes())
            && handle.load().occupied(nowMs) + 1 <= MAX_OWNER_OCCUPANCY * handle.load().slots()
            && isWithinColdRate(call.service(), entry.get(), nowMs);
    return available ? Optional.of(handle) : Optional.empty();
  }

  private boolean isWithinColdRate(ServicePolicy service, UpstreamEntry entry, long nowMs) {
    return !view.upstreams().isCold(entry.id(), nowMs)
        || coldRateLimiter.maySend(
            entry.id(), service.coldRequestsPerSecond(), view.entryVms(), nowMs);
  }

  private Optional<UpstreamHandle> findFreeUpstream(
      RequestCall call, boolean idleOnly, boolean suspect) {
    long nowMs = clock.nowMs();
    ServicePolicy service = call.service();
    int share = connectionShare(service);
    long bodyBytes = call.exchange().bodyBytes();
    double targetLatencyMs = call.route().targetLatencyMs();
    double remotePenaltyMs =
        targetLatencyMs
            * (call.route().kind() == RequestKind.BULK ? BULK_REMOTE_PENALTY : REMOTE_PENALTY);
    List<UpstreamEntry> candidates = view.upstreams().usable(service.name());
    Predicate<UpstreamEntry> hasRoom =
        entry ->
            !call.history().triedUpstreams().contains(entry.id())
                && !(suspect && registry.getOrCreate(entry).hasTrial())
                && hasRoom(registry.getOrCreate(entry), share, idleOnly, nowMs)
                && registry.getOrCreate(entry).byteLimit().hasRoom(bodyBytes)
                && isWithinColdRate(service, entry, nowMs);
    Function<UpstreamEntry, Double> penaltyMs =
        entry -> entry.dataCentre().equals(dataCentre) ? 0 : remotePenaltyMs;
    double averageMs = averageMs(service.name());
    Optional<UpstreamEntry> chosen =
        costs.isKnown(call)
            ? costs.choose(call, candidates, registry, hasRoom, penaltyMs, averageMs)
            : chooser.choose(
                candidates,
                entry -> registry.getOrCreate(entry).load(),
                hasRoom,
                penaltyMs,
                averageMs,
                nowMs);
    return chosen.map(registry::getOrCreate);
  }

  /** Returns whether a connection is idle, or may be opened. */
  private boolean hasConnection(UpstreamHandle handle) {
    return path.isCutOff() || reach.isUnreached(handle.entry().id())
        ? handle.pool().hasIdle()
        : handle.pool().hasRoom();
  }

  /** Returns this VM's share of the connections that an upstream accepts from all VMs. */
  private int connectionShare(ServicePolicy service) {
    return (int) (CONNECTION_SHARE * service.maxConnections() / view.entryVms().size());
  }

  private boolean hasRoom(
      UpstreamHandle handle, int connectionShare, boolean idleOnly, long nowMs) {
    handle.pool().setMaxConnections(connectionShare);
    if (!hasConnection(handle) || limitedUntilMs(handle, nowMs) > nowMs) {
      return false;
    }
    double occupied = handle.load().occupied(nowMs);
    return occupied + 1 <= handle.load().slots() + (idleOnly ? 0 : 0.5);
  }
}
