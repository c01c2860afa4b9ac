package org.foxtailford.entry.request;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.foxtailford.core.overload.QueueAdmissionPolicy;
import org.foxtailford.core.overload.WaitingRequest;
import org.foxtailford.core.overload.WaitingRequestComparator;
import org.foxtailford.core.overload.WindowedRetryBudget;
import org.foxtailford.core.route.RequestKind;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamPath;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.settings.EntrySettings;
import org.foxtailford.net.exchange.ExchangeDialect;

/**
 * Sends requests to upstreams, queues, retries or refuses them, by the policies of {@code
 * core.overload} and {@code core.upstream}. Confined to the event loop.
 */
public final class RequestScheduler {

  /** Interval at which the queues are processed while requests wait, in milliseconds. */
  private static final long TICK_MS = 20;

  /** Maximum number of requests that wait ahead of a queued one. */
  private static final int MAX_WAITING = 256;

  /** Time without an answer before a hedge is sent, as a multiple of the expected work. */
  private static final double HEDGE_DELAY_FACTOR = 3;

  /** Minimum time before a hedge is sent, in milliseconds. */
  private static final long MIN_HEDGE_DELAY_MS = 120;

  /** Maximum idle time of a connection for a non-idempotent request, in milliseconds. */
  private static final long MAX_NON_IDEMPOTENT_IDLE_MS = 1000;

  /**
   * Maximum time for which a request waits while its key is being moved, in milliseconds; most
   * moves end sooner.
   */
  private static final long MAX_MOVE_WAIT_MS = 1000;

  /**
   * Fraction of the time left up to which a request waits while its key is being moved; the rest
   * allows its caller to try again.
   */
  private static final double MOVE_WAIT_SHARE = 0.5;

  /**
   * Maximum time for which a request waits while its key has no usable owner and no move is known,
   * in milliseconds. The keys of a lost owner are free only when its grants have expired, seconds
   * later; a newer map may just not have arrived.
   */
  private static final long MAX_OWNERLESS_WAIT_MS = 150;

  /** Fraction of the latency target that a request may wait before a retry. */
  private static final double RETRY_WAIT_SHARE = 0.25;

  /** Reason for the refusal of a request for which neither upstream nor peer is in reach. */
  private static final String CUT_OFF = "cut off from upstreams";

  /** Reason for the refusal of a request under which upstreams have ended. */
  private static final String STOPPED = "upstreams ended under it";

  /** Reason for the refusal of a request for load if its tenant is over its share. */
  private static final String OVER_SHARE = "tenant over its share";

  /** Additional attempts for sends that never left this VM, beyond the route's limit. */
  private static final int MAX_UNREACHED_SENDS = 3;

  private final EventLoop loop;
  private final MillisClock clock;
  private final RoutingView view;
  private final UpstreamRegistry registry;
  private final UpstreamSelector upstreams;
  private final ExchangeDialect dialect;
  private final RequestMetrics metrics;
  private final RequestLog log;
  private final UpstreamStatements statements;
  private final RetryPermits retries;
  private final TenantOrder tenantOrder = new TenantOrder();
  private final PoisonGuard poison;
  private final UpstreamPath path;
  private final RequestRelay relay;
  private final OwnerLossRetry ownerLossRetry;
  private final PartialReachRelay partialReach;
  private final DoubleSupplier random;
  private final QueueAdmissionPolicy admission = new QueueAdmissionPolicy(MAX_WAITING);
  private final Map<String, List<RequestCall>> waitingByService = new HashMap<>();
  private int activeRequests;
  private boolean sending;
  private boolean tickScheduled;

  /**
   * Creates a scheduler.
   *
   * @param relay sends requests to other entry VMs while this one reaches no upstream
   * @param upstreams finds upstreams for requests
   */
  public RequestScheduler(
      EventLoop loop,
      MillisClock clock,
      RoutingView view,
      UpstreamRegistry registry,
      ExchangeDialect dialect,
      RequestMetrics metrics,
      PoisonGuard poison,
      RequestRelay relay,
      WindowedRetryBudget retryBudget,
      DoubleSupplier random,
      UpstreamSelector upstreams) {
    this.loop = Assert.notNull(loop, "loop");
    this.clock = Assert.notNull(clock, "clock");
    this.view = Assert.notNull(view, "view");
    this.dialect = Assert.notNull(dialect, "dialect");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.log = new RequestLog(clock);
    this.statements = new UpstreamStatements(view, dialect, metrics, clock);
    this.poison = Assert.notNull(poison, "poison");
    this.retries = new RetryPermits(retryBudget, view, metrics, clock);
    this.random = Assert.notNull(random, "random");
    this.registry = Assert.notNull(registry, "registry");
    this.relay = Assert.notNull(relay, "relay");
    this.path = relay.path();
    this.upstreams = Assert.notNull(upstreams, "upstreams");
    this.partialReach =
        new PartialReachRelay(relay.reach(), relay, registry, upstreams, this, clock);
    this.ownerLossRetry = new OwnerLossRetry(view, registry, upstreams, this, clock, loop);
  }

  /** Starts the periodic checks on the event loop. */
  public void start() {
    partialReach.start(loop);
  }

  /** Replaces the bounds of the retry budget after a change of the settings. */
  public void replaceRetryBounds(EntrySettings.Bounds bounds) {
    retries.replaceBounds(bounds);
  }

  /** Returns the number of requests that have not ended. */
  public int activeRequests() {
    return activeRequests;
  }

  /** Returns whether a request may be sent again, and takes from the retry budget if so. */
  boolean tryRetry(RequestCall call, String reason) {
    return retries.tryRetry(call, reason);
  }

  /** Returns the number of queued requests. */
  public int waitingRequests() {
    return waitingByService.values().stream().mapToInt(List::size).sum();
  }

  long nowMs() {
    return clock.nowMs();
  }

  ExchangeDialect dialect() {
    return dialect;
  }

  RequestMetrics metrics() {
    return metrics;
  }

  RequestLog log() {
    return log;
  }

  UpstreamStatements statements() {
    return statements;
  }

  PoisonGuard poison() {
    return poison;
  }

  PartialReachRelay partialReach() {
    return partialReach;
  }

  UpstreamPath path() {
    return path;
  }

  OwnerSendPacing ownerPacing() {
    return upstreams.ownerPacing();
  }

  ExpectedCosts costs() {
    return upstreams.costs();
  }

  ScheduledFuture<?> schedule(long delayMs, Runnable task) {
    return loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  /** Records that another VM has decided a request by a version of the configuration. */
  void recordConfigurationHeardOf(long version) {
    view.onConfigurationHeardOf(version);
  }

  long maxIdleMs(RequestKind kind) {
    return kind.isIdempotent() ? Long.MAX_VALUE : MAX_NON_IDEMPOTENT_IDLE_MS;
  }

  /** Records a new request. */
  void register(RequestCall call) {
    activeRequests++;
    if (!call.isRelayed()) { // the VM that it comes from counts it
      retries.recordRequest(call);
      call.key()
          .ifPresent(
              key ->
                  view.countKey(call.service().name(), key, upstreams.costs().relativeCost(call)));
    }
  }

  void unregister(RequestCall call) {
    activeRequests--;
    List<RequestCall> queue = waitingByService.get(call.service().name());
    if (queue != null) {
      queue.remove(call);
    }
  }

  /** Sends a request, queues it or refuses it; one whose caller has left takes nobody's place. */
  void submit(RequestCall call) {
    if (call.endIfCallerLeft()) {
      return;
    }
    if (poison.isStopped(call)) {
      call.refuse(STOPPED, RequestCall.BAD_GATEWAY);
    } else if (!trySend(call)) {
      if (path.isCutOff()) {
        relay(call);
      } else if (!partialReach.tryRelay(call)) {
        enqueue(call);
      }
    }
  }

  /**
   * Returns the waiting requests for the same upstreams that go before a new one, as a multiple of
   * the average cost.
   */
  private double ahead(RequestCall call, WaitingRequestComparator order) {
    double ahead = 0;
    for (RequestCall other : waitingByService.getOrDefault(call.service().name(), List.of())) {
      boolean sameUpstream = !call.service().keyed() || upstreams.hasSameOwner(call, other);
      if (sameUpstream && order.compare(other.terms(), call.terms()) <= 0) {
        ahead += upstreams.costs().relativeCost(other);
      }
    }
    return ahead;
  }

  /** Has another entry VM serve a request for which this one reaches no upstream. */
  private void relay(RequestCall call) {
    if (!relay.tryRelay(call, call.service().name())) {
      call.refuse(CUT_OFF, RequestCall.BAD_GATEWAY);
    }
  }

  /** Handles that this VM is cut off from all upstreams, or no longer. */
  public void onPathChanged() {
    partialReach.onPathChanged();
    tick();
  }

  private void enqueue(RequestCall call) {
    long nowMs = nowMs();
    String service = call.service().name();
    long workMs = (long) upstreams.workMs(call);
    call.expectWork(upstreams.costs().expectedMs(call));
    long untilMs = admission.waitsUntilMs(call.terms(), workMs);
    if (call.history().sends() > 0) {
      WaitingRequest terms = call.terms();
      long retryWaitMs = (long) (RETRY_WAIT_SHARE * (terms.targetAtMs() - terms.arrivedMs()));
      untilMs = Math.min(Math.max(untilMs, nowMs + retryWaitMs), terms.deadlineMs() - workMs);
    }
    if (call.service().keyed()) {
      long readyMs = upstreams.ownerReadyMs(call, nowMs);
      if (readyMs > untilMs) {
        call.refuse(upstreams.whyOwnerIsNotReady(call, nowMs), RequestCall.BAD_GATEWAY);
        return;
      }
      if (upstreams.isBeingMoved(call, nowMs)) {
        long leftMs = call.terms().deadlineMs() - workMs - nowMs;
        untilMs = nowMs + Math.min(MAX_MOVE_WAIT_MS, (long) (MOVE_WAIT_SHARE * leftMs));
      } else if (readyMs < 0) {
        untilMs = Math.min(untilMs, nowMs + MAX_OWNERLESS_WAIT_MS);
      }
    }
    if (upstreams.suspendedUntilMs(call) > untilMs) {
      refuseSuspended(call);
      return;
    }
    List<RequestCall> queue = waitingByService.computeIfAbsent(service, name -> new ArrayList<>());
    double ahead = ahead(call, tenantOrder.order(service, nowMs, workMs));
    if (admission.mayWait(ahead, upstreams.expectedSendRate(call), untilMs, nowMs)) {
      call.startWaiting(untilMs, nowMs);
      queue.add(call);
      scheduleTick();
    } else {
      refuseForLoad(call, "no room");
    }
  }

  private void refuseForLoad(RequestCall call, String reason) {
    call.refuse(tenantOrder.isOverShare(call) ? OVER_SHARE : reason, RequestCall.BAD_GATEWAY);
  }

  /** Schedules a tick unless one is scheduled. Ticks stop while no request waits. */
  private void scheduleTick() {
    if (!tickScheduled) {
      tickScheduled = true;
      loop.schedule(this::runTick, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void runTick() {
    tickScheduled = false;
    try {
      tick();
    } finally {
      if (waitingRequests() > 0) {
        scheduleTick();
      }
    }
  }

  /** Sends a request to an upstream that has room, if there is one. */
  boolean trySend(RequestCall call) {
    Optional<UpstreamHandle> upstream = upstreams.findFree(call, poison.isSuspect(call));
    upstream.ifPresent(handle -> sendTo(call, handle));
    return upstream.isPresent();
  }

  void sendTo(RequestCall call, UpstreamHandle handle) {
    upstreams.recordSend(call, handle);
    tenantOrder.recordSend(call, nowMs());
    call.send(handle);
  }

  /** Returns how long to wait for an answer before a hedge is sent, in milliseconds. */
  long hedgeDelayMs(RequestCall call, UpstreamHandle upstream) {
    double workMs = upstream.load().workMs(upstreams.averageMs(call.service().name()));
    return Math.max(MIN_HEDGE_DELAY_MS, (long) (HEDGE_DELAY_FACTOR * workMs));
  }

  /** Sends an unanswered request to a second upstream, if the budget and its load allow. */
  void hedge(RequestCall call) {
    boolean eligible =
        call.canRetry()
            && !hasWaiting(call.service())
            && !poison.isSuspect(call)
            && !poison.isStopped(call);
    Optional<UpstreamHandle> upstream = eligible ? upstreams.findIdle(call) : Optional.empty();
    if (upstream.isEmpty()) {
      metrics.recordDeniedRetry("silence");
    } else if (retries.tryRetry(call, "silence")) {
      sendTo(call, upstream.get());
    }
  }

  private boolean hasWaiting(ServicePolicy service) {
    List<RequestCall> queue = waitingByService.get(service.name());
    return queue != null && !queue.isEmpty();
  }

  /** Retries a request without an active attempt, or refuses or fails it. */
  void onAttemptsFailed(RequestCall call, boolean notRun, String reason) {
    boolean allowedToRun = call.route().kind().isIdempotent() || !call.mayHaveRun();
    boolean retryable =
        allowedToRun
            && call.canRetry()
            && call.history().sends() - call.history().cutOffPeers()
                < call.route().maxAttempts() + MAX_UNREACHED_SENDS
            && call.terms().deadlineMs() - nowMs() > upstreams.averageMs(call.service().name()) / 2;
    boolean reached = call.history().deliveries() > 0 || call.history().isReached();
    if (poison.isStopped(call)) {
      call.refuse(STOPPED, RequestCall.BAD_GATEWAY);
    } else if (retryable && (!reached || retries.tryRetry(call, reason))) {
      submit(call);
    } else if (call.mayHaveRun()) {
      call.fail(RequestCall.BAD_GATEWAY, reason);
    } else {
      call.refuse(reason, RequestCall.BAD_GATEWAY);
    }
  }

  /** Pauses a range whose owner disowned a key, until a newer map of the owners may be there. */
  void onMisdirected(RequestCall call, UpstreamHandle upstream) {
    if (call.key().isEmpty()) {
      upstream.load().recordUnreachable(nowMs());
      return;
    }
    if (upstreams.recordMisdirection(call, upstream)) {
      view.onWrongOwner(call.service().name(), call.key().getAsInt());
    }
  }

  /** Records that another incarnation of an upstream has started. */
  public void onUpstreamRestarted(String id) {
    registry.find(id).ifPresent(poison::onRestarted);
  }

  private void refuseSuspended(RequestCall call) {
    call.refuse(
        upstreams.isPaused(call) ? "upstreams are paused" : "no upstream in reach",
        RequestCall.BAD_GATEWAY);
  }

  /**
   * Records the time of an answer, in milliseconds.
   *
   * @param hadQueue whether the upstream had waiting requests, so that the time includes queueing
   */
  void recordLatency(UpstreamHandle upstream, double tookMs, boolean hadQueue) {
    UpstreamEntry entry = upstream.entry();
    upstreams.recordLatency(entry.service(), tookMs);
    if (!hadQueue) {
      view.countWork(entry, tookMs);
    }
  }

  long retryAfterMs(RequestCall call) {
    List<RequestCall> queue = waitingByService.get(call.service().name());
    int queued = queue == null ? 0 : queue.size();
    long delayMs =
        admission.retryAfterMs(
            queued,
            upstreams.expectedSendRate(call),
            call.callerRemainingMs(nowMs()),
            random.getAsDouble());
    long suspendedMs = upstreams.suspendedUntilMs(call) - nowMs();
    return Math.max(Math.max(delayMs, suspendedMs), poison.refusedForMs(call));
  }

  /** Sends waiting requests of a service as far as upstreams have capacity. */
  public void sendWaiting(String service) {
    List<RequestCall> queue = waitingByService.get(service);
    if (queue == null || queue.isEmpty() || sending) {
      return;
    }
    sending = true;
    try {
      long nowMs = nowMs();
      WaitingRequestComparator order =
          tenantOrder.order(service, nowMs, (long) upstreams.averageMs(service));
      List<RequestCall> ordered = new ArrayList<>(queue);
      ordered.sort(Comparator.comparing(RequestCall::terms, order));
      QueueScan scan = new QueueScan(upstreams);
      queue.clear();
      for (RequestCall call : ordered) {
        if (!call.isFinished()) {
          if (!scan.isFull(call) && trySend(call)) {
            metrics.recordWait(service, nowMs - call.waitingSinceMs());
          } else {
            keepWaiting(call, queue, scan, nowMs);
          }
        }
      }
    } finally {
      sending = false; // also if one request fails, so that the others are not stuck
    }
  }

  /**
   * Keeps a request queued, or refuses it if its wait has ended or if, given the requests ahead of
   * it, it is not expected to be sent in time.
   */
  private void keepWaiting(RequestCall call, List<RequestCall> queue, QueueScan scan, long nowMs) {
    scan.recordNoCapacity(call);
    if (poison.isStopped(call)) {
      call.refuse(STOPPED, RequestCall.BAD_GATEWAY);
    } else if (path.isCutOff()) {
      relay(call);
    } else if (partialReach.tryRelay(call)) {
      return;
    } else if (nowMs >= call.waitsUntilMs()) {
      call.refuse("waited in vain", RequestCall.BAD_GATEWAY);
    } else if (scan.suspendedUntilMs(call) > call.waitsUntilMs()) {
      refuseSuspended(call);
    } else if (admission.isExpectedTooLate(
        scan.ahead(call), scan.sendRate(call), call.waitsUntilMs(), nowMs)) {
      refuseForLoad(call, "others go before");
    } else if (!call.isFinished()) {
      scan.recordWaiting(call);
      queue.add(call);
    }
  }

  /** Handles a change of upstreams, owners or the configuration. */
  public void onRoutingChanged() {
    ownerLossRetry.check();
    tick();
  }

  /** Processes all queues, after a change of the routing state or after some time. */
  public void tick() {
    List.copyOf(waitingByService.keySet()).forEach(this::sendWaiting);
    upstreams.removeOutdated();
  }
}
