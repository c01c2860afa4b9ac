package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.ColdUpstreamRateLimiter;
import org.foxtailford.core.overload.MisdirectionPauses;
import org.foxtailford.core.overload.QueueAdmissionPolicy;
import org.foxtailford.core.overload.WaitingRequest;
import org.foxtailford.core.overload.WaitingRequestComparator;
import org.foxtailford.core.overload.WindowedRetryBudget;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.route.RequestKind;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamChooser;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.exchange.ExchangeDialect;

/**
 * Sends requests to upstreams, queues, retries or refuses them, by the policies of {@code
 * core.overload} and {@code core.upstream}. Confined to the event loop.
 */
public final class RequestScheduler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval at which the queues are processed while requests wait, in milliseconds. */
  private static final long TICK_MS = 20;

  /** Maximum number of requests that wait ahead of a queued one. */
  private static final int MAX_WAITING = 256;

  /** Assumed average time of a service before its first answer, in milliseconds. */
  private static final double INITIAL_AVERAGE_MS = 100;

  private static final double AVERAGE_WEIGHT = 0.05;

  /** Time without an answer before a hedge is sent, as a multiple of the expected work. */
  private static final double HEDGE_DELAY_FACTOR = 3;

  /** Minimum time before a hedge is sent, in milliseconds. */
  private static final long MIN_HEDGE_DELAY_MS = 120;

  /** Maximum idle time of a connection for a non-idempotent request, in milliseconds. */
  private static final long MAX_NON_IDEMPOTENT_IDLE_MS = 1000;

  /**
   * Penalty for an upstream in another data centre, as a fraction of the latency target; higher for
   * bulk requests, since traffic between data centres is billed by the byte.
   */
  private static final double BULK_REMOTE_PENALTY = 0.5;

  private static final double REMOTE_PENALTY = 0.03;

  /** Requests that an owner may have per slot; above 1 since no other upstream can run them. */
  private static final double MAX_OWNER_OCCUPANCY = 1.75;

  /**
   * Maximum time for which a request waits while its key has no usable owner, in milliseconds; most
   * moves of keys end sooner.
   */
  private static final long MAX_OWNERLESS_WAIT_MS = 1000;

  /**
   * Fraction of the time left up to which a request waits while its key has no usable owner; the
   * rest allows its caller to try again.
   */
  private static final double OWNERLESS_WAIT_SHARE = 0.5;

  /**
   * Fraction of the drain time for which an owner that said that it is leaving still gets requests
   * for its keys, which nobody else can serve until they have moved. The rest of the drain time is
   * left to the registration, which tells the same to all VMs.
   */
  private static final double LEAVING_OWNER_SHARE = 0.25;

  /** Fraction of an upstream's connections used for requests; the rest is for range commands. */
  private static final double CONNECTION_SHARE = 0.9;

  /** Fraction of the latency target that a request may wait before a retry. */
  private static final double RETRY_WAIT_SHARE = 0.25;

  /** Additional attempts for sends that never left this VM, beyond the route's limit. */
  private static final int MAX_UNREACHED_SENDS = 3;

  private final EventLoop loop;
  private final MillisClock clock;
  private final RoutingView view;
  private final UpstreamRegistry registry;
  private final ExchangeDialect dialect;
  private final RequestMetrics metrics;
  private final DoubleSupplier random;
  private final String dataCentre;
  private final long leavingOwnerMs;
  private final UpstreamChooser chooser;
  private final ColdUpstreamRateLimiter coldRateLimiter;
  private final OwnerSendPacing ownerPacing;
  private final QueueAdmissionPolicy admission = new QueueAdmissionPolicy(MAX_WAITING);
  private final Map<String, List<RequestCall>> waitingByService = new HashMap<>();
  private final Map<String, Double> averageMsByService = new HashMap<>();
  private final MisdirectionPauses misdirections = new MisdirectionPauses();
  private WindowedRetryBudget retryBudget;
  private int activeRequests;
  private boolean sending;
  private boolean tickScheduled;

  /**
   * Creates a scheduler.
   *
   * @param drainMs time after an upstream's leaving is known in which the last request must reach
   *     it, in milliseconds
   */
  public RequestScheduler(
      EventLoop loop,
      MillisClock clock,
      RoutingView view,
      UpstreamRegistry registry,
      ExchangeDialect dialect,
      RequestMetrics metrics,
      WindowedRetryBudget retryBudget,
      DoubleSupplier random,
      String node,
      String dataCentre,
      long drainMs) {
    this.loop = Assert.notNull(loop, "loop");
    this.clock = Assert.notNull(clock, "clock");
    this.view = Assert.notNull(view, "view");
    this.registry = Assert.notNull(registry, "registry");
    this.dialect = Assert.notNull(dialect, "dialect");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.retryBudget = Assert.notNull(retryBudget, "retryBudget");
    this.random = Assert.notNull(random, "random");
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.leavingOwnerMs = (long) (LEAVING_OWNER_SHARE * drainMs);
    this.chooser = new UpstreamChooser(random);
    this.coldRateLimiter = new ColdUpstreamRateLimiter(node);
    this.ownerPacing = new OwnerSendPacing(view, clock, this::averageMs);
  }

  /** Replaces the retry budget after a change of the settings. */
  public void replaceRetryBudget(WindowedRetryBudget newBudget) {
    retryBudget = Assert.notNull(newBudget, "newBudget");
  }

  /** Returns the number of requests that have not ended. */
  public int activeRequests() {
    return activeRequests;
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

  OwnerSendPacing ownerPacing() {
    return ownerPacing;
  }

  ScheduledFuture<?> schedule(long delayMs, Runnable task) {
    return loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  long maxIdleMs(RequestKind kind) {
    return kind.isIdempotent() ? Long.MAX_VALUE : MAX_NON_IDEMPOTENT_IDLE_MS;
  }

  /** Records a new request. */
  void register(RequestCall call) {
    activeRequests++;
    retryBudget.recordRequest(call.service().name(), nowMs());
    call.key().ifPresent(key -> view.countKey(call.service().name(), key));
  }

  void unregister(RequestCall call) {
    activeRequests--;
    List<RequestCall> queue = waitingByService.get(call.service().name());
    if (queue != null) {
      queue.remove(call);
    }
  }

  /** Sends a request, queues it or refuses it. */
  void submit(RequestCall call) {
    if (!trySend(call)) {
      enqueue(call);
    }
  }

  private void enqueue(RequestCall call) {
    long nowMs = nowMs();
    String service = call.service().name();
    long workMs = (long) averageMs(service);
    long untilMs = admission.waitsUntilMs(call.terms(), workMs);
    if (call.sends() > 0) {
      WaitingRequest terms = call.terms();
      long retryWaitMs = (long) (RETRY_WAIT_SHARE * (terms.targetAtMs() - terms.arrivedMs()));
      untilMs = Math.min(Math.max(untilMs, nowMs + retryWaitMs), terms.deadlineMs() - workMs);
    }
    if (call.service().keyed()) {
      long readyMs = ownerReadyMs(call, nowMs);
      if (readyMs > untilMs) {
        boolean full = isOwnerFull(call, nowMs);
        call.refuse(full ? "owner is full" : "owner out of reach", RequestCall.BAD_GATEWAY);
        return;
      }
      if (readyMs < 0 || isMisdirected(call, nowMs)) {
        long leftMs = call.terms().deadlineMs() - workMs - nowMs;
        untilMs = nowMs + Math.min(MAX_OWNERLESS_WAIT_MS, (long) (OWNERLESS_WAIT_SHARE * leftMs));
      }
    }
    if (pausedUntilMs(call) > untilMs) {
      call.refuse("upstreams are paused", RequestCall.BAD_GATEWAY);
      return;
    }
    List<RequestCall> queue = waitingByService.computeIfAbsent(service, name -> new ArrayList<>());
    WaitingRequestComparator order = new WaitingRequestComparator(nowMs, workMs);
    int ahead = 0;
    for (RequestCall other : queue) {
      boolean sameUpstream = !call.service().keyed() || hasSameOwner(call, other);
      if (sameUpstream && order.compare(other.terms(), call.terms()) <= 0) {
        ahead++;
      }
    }
    if (admission.mayWait(ahead, expectedSendRate(call), untilMs, nowMs)) {
      call.startWaiting(untilMs, nowMs);
      queue.add(call);
      scheduleTick();
    } else {
      call.refuse("no room", RequestCall.BAD_GATEWAY);
    }
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
    tick();
    if (waitingRequests() > 0) {
      scheduleTick();
    }
  }

  /** Returns when the owner may get a request, in milliseconds; negative if no owner is usable. */
  private long ownerReadyMs(RequestCall call, long nowMs) {
    return owner(call)
        .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
        .filter(entry -> view.upstreams().mayServeKeys(entry, leavingOwnerMs, nowMs))
        .map(registry::getOrCreate)
        .map(owner -> Math.max(owner.load().suspendedUntilMs(), owner.pacer().nextSendMs(nowMs)))
        .orElse(-1L);
  }

  private boolean isMisdirected(RequestCall call, long nowMs) {
    return owner(call).filter(a -> misdirections.isPaused(a.fence(), nowMs)).isPresent();
  }

  private boolean isOwnerFull(RequestCall call, long nowMs) {
    return owner(call)
        .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
        .map(entry -> registry.getOrCreate(entry).pacer().isFull(nowMs))
        .orElse(false);
  }

  private boolean hasSameOwner(RequestCall a, RequestCall b) {
    Optional<RangeAssignment> ownerOfA = owner(a);
    return ownerOfA.isPresent()
        && b.key().isPresent()
        && ownerOfA.get().owner().equals(owner(b).map(RangeAssignment::owner).orElse(null));
  }

  private Optional<RangeAssignment> owner(RequestCall call) {
    return call.key().isPresent()
        ? view.owners(call.service().name()).find(call.key().getAsInt())
        : Optional.empty();
  }

  /**
   * Returns the expected rate at which this VM's waiting requests are sent, per second: the
   * capacity of the upstreams, divided in proportion to the requests that this and other VMs have
   * there.
   */
  private double expectedSendRate(RequestCall call) {
    long nowMs = nowMs();
    String service = call.service().name();
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
        perSecond += load.slots() * 1000 / Math.max(1, load.workMs(averageMs(service)));
        own += load.inFlight();
        total += load.occupied(nowMs);
      }
    }
    return perSecond * own / total;
  }

  private double averageMs(String service) {
    return averageMsByService.getOrDefault(service, INITIAL_AVERAGE_MS);
  }

  private boolean trySend(RequestCall call) {
    Optional<UpstreamHandle> upstream =
        call.service().keyed() ? findFreeOwner(call) : findFreeUpstream(call, false);
    upstream.ifPresent(handle -> sendTo(call, handle));
    return upstream.isPresent();
  }

  private void sendTo(RequestCall call, UpstreamHandle handle) {
    long nowMs = nowMs();
    ServicePolicy service = call.service();
    if (view.upstreams().isCold(handle.entry().id(), nowMs)) {
      coldRateLimiter.recordSend(
          handle.entry().id(), service.coldRequestsPerSecond(), view.entryVms(), nowMs);
    }
    if (service.keyed()) {
      ownerPacing.recordSend(handle);
    }
    call.send(handle);
  }

  private Optional<UpstreamHandle> findFreeOwner(RequestCall call) {
    long nowMs = nowMs();
    Optional<RangeAssignment> assignment = owner(call);
    if (assignment.isEmpty()) {
      return Optional.empty();
    }
    if (misdirections.isPaused(assignment.get().fence(), nowMs)) {
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
            && handle.pool().hasRoom()
            && handle.load().occupied(nowMs) + 1 <= MAX_OWNER_OCCUPANCY * handle.load().slots()
            && isWithinColdRate(call.service(), entry.get(), nowMs);
    return available ? Optional.of(handle) : Optional.empty();
  }

  private boolean isWithinColdRate(ServicePolicy service, UpstreamEntry entry, long nowMs) {
    return !view.upstreams().isCold(entry.id(), nowMs)
        || coldRateLimiter.maySend(
            entry.id(), service.coldRequestsPerSecond(), view.entryVms(), nowMs);
  }

  private Optional<UpstreamHandle> findFreeUpstream(RequestCall call, boolean idleOnly) {
    long nowMs = nowMs();
    ServicePolicy service = call.service();
    int share = connectionShare(service);
    double targetLatencyMs = call.route().targetLatencyMs();
    double remotePenaltyMs =
        targetLatencyMs
            * (call.route().kind() == RequestKind.BULK ? BULK_REMOTE_PENALTY : REMOTE_PENALTY);
    Optional<UpstreamEntry> chosen =
        chooser.choose(
            view.upstreams().usable(service.name()),
            entry -> registry.getOrCreate(entry).load(),
            entry ->
                !call.triedUpstreams().contains(entry.id())
                    && hasRoom(registry.getOrCreate(entry), share, idleOnly, nowMs)
                    && isWithinColdRate(service, entry, nowMs),
            entry -> entry.dataCentre().equals(dataCentre) ? 0 : remotePenaltyMs,
            averageMs(service.name()),
            nowMs);
    return chosen.map(registry::getOrCreate);
  }

  /** Returns this VM's share of the connections that an upstream accepts from all VMs. */
  private int connectionShare(ServicePolicy service) {
    return (int) (CONNECTION_SHARE * service.maxConnections() / view.entryVms().size());
  }

  private static boolean hasRoom(
      UpstreamHandle handle, int connectionShare, boolean idleOnly, long nowMs) {
    handle.pool().setMaxConnections(connectionShare);
    if (!handle.pool().hasRoom()) {
      return false;
    }
    double occupied = handle.load().occupied(nowMs);
    return occupied + 1 <= handle.load().slots() + (idleOnly ? 0 : 0.5);
  }

  /** Returns how long to wait for an answer before a hedge is sent, in milliseconds. */
  long hedgeDelayMs(RequestCall call, UpstreamHandle upstream) {
    double workMs = upstream.load().workMs(averageMs(call.service().name()));
    return Math.max(MIN_HEDGE_DELAY_MS, (long) (HEDGE_DELAY_FACTOR * workMs));
  }

  /** Sends an unanswered request to a second upstream, if the budget and its load allow. */
  void hedge(RequestCall call) {
    boolean eligible =
        call.canRetry() && call.exchange().isBodyComplete() && !hasWaiting(call.service());
    Optional<UpstreamHandle> upstream = eligible ? findFreeUpstream(call, true) : Optional.empty();
    if (upstream.isEmpty()) {
      metrics.recordDeniedRetry("silence");
    } else if (tryRetry(call, "silence")) {
      sendTo(call, upstream.get());
    }
  }

  private boolean hasWaiting(ServicePolicy service) {
    List<RequestCall> queue = waitingByService.get(service.name());
    return queue != null && !queue.isEmpty();
  }

  private boolean tryRetry(RequestCall call, String reason) {
    boolean allowed = retryBudget.tryRetry(call.service().name(), view.entryVms().size(), nowMs());
    if (allowed) {
      metrics.recordRetry(reason);
    } else {
      metrics.recordDeniedRetry(reason);
    }
    logger
        .atInfo()
        .with(EventFields.REQUEST, call.requestId())
        .with(EventFields.SERVICE, call.service().name())
        .with(EventFields.REASON, reason)
        .with(EventFields.ATTEMPTS, (long) call.sends())
        .log(allowed ? "request retried" : "retry denied by budget");
    return allowed;
  }

  /** Retries a request without an active attempt, or refuses or fails it. */
  void onAttemptsFailed(RequestCall call, boolean notRun, String reason) {
    boolean allowedToRun = call.route().kind().isIdempotent() || !call.mayHaveRun();
    boolean retryable =
        allowedToRun
            && call.canRetry()
            && call.sends() < call.route().maxAttempts() + MAX_UNREACHED_SENDS
            && call.exchange().isBodyComplete()
            && call.terms().deadlineMs() - nowMs() > averageMs(call.service().name()) / 2;
    boolean reached = call.deliveries() > 0;
    if (retryable && (!reached || tryRetry(call, reason))) {
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
    owner(call)
        .filter(assignment -> assignment.owner().upstream().equals(upstream.entry().id()))
        .ifPresent(
            assignment -> {
              misdirections.recordRejection(assignment.fence(), nowMs());
              view.onWrongOwner(call.service().name(), call.key().getAsInt());
            });
  }

  /** Records that an upstream said that it is leaving. */
  void onLeaving(UpstreamHandle upstream) {
    view.onLeaving(upstream.entry());
  }

  /** Pauses an upstream that answered 503, if it said for how long it wants nothing. */
  void onUnavailable(RequestCall call, UpstreamHandle upstream, HttpHeaders headers) {
    if (!headers.contains(HttpHeaderNames.RETRY_AFTER)) {
      return;
    }
    OptionalLong pauseMs = dialect.retryAfterMs(headers);
    metrics.recordPause(pauseMs.isPresent() ? "obeyed" : "unreadable");
    if (pauseMs.isPresent()) {
      upstream.load().recordPause(pauseMs.getAsLong(), nowMs());
      logger
          .atInfo()
          .with(EventFields.REQUEST, call.requestId())
          .with(EventFields.SERVICE, upstream.entry().service())
          .with(EventFields.UPSTREAM, upstream.entry().id())
          .with(EventFields.RETRY_AFTER_MS, pauseMs.getAsLong())
          .log("upstream paused");
    }
  }

  /**
   * Returns when the first upstream that may serve a request ends its pause, in milliseconds; 0 if
   * one is not paused. Requests are not kept waiting for longer pauses than they may wait.
   */
  private long pausedUntilMs(RequestCall call) {
    Collection<UpstreamEntry> entries = candidates(call);
    return entries.stream()
        .mapToLong(entry -> registry.getOrCreate(entry).load().pausedUntilMs())
        .min()
        .orElse(0);
  }

  /** Returns the owner of a request's key, or all usable upstreams for a request without key. */
  private Collection<UpstreamEntry> candidates(RequestCall call) {
    return call.service().keyed()
        ? owner(call)
            .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
            .map(List::of)
            .orElse(List.of())
        : view.upstreams().usable(call.service().name());
  }

  /**
   * Records the time of an answer, in milliseconds.
   *
   * @param hadQueue whether the upstream had waiting requests, so that the time includes queueing
   */
  void recordLatency(UpstreamHandle upstream, double tookMs, boolean hadQueue) {
    UpstreamEntry entry = upstream.entry();
    averageMsByService.merge(
        entry.service(), tookMs, (old, took) -> old + AVERAGE_WEIGHT * (took - old));
    if (!hadQueue) {
      view.countWork(entry, tookMs);
    }
  }

  long retryAfterMs(RequestCall call) {
    List<RequestCall> queue = waitingByService.get(call.service().name());
    int queued = queue == null ? 0 : queue.size();
    long delayMs =
        admission.retryAfterMs(
            queued, expectedSendRate(call), call.callerRemainingMs(nowMs()), random.getAsDouble());
    return Math.max(delayMs, pausedUntilMs(call) - nowMs());
  }

  /** Sends waiting requests of a service as far as upstreams have capacity. */
  public void sendWaiting(String service) {
    List<RequestCall> queue = waitingByService.get(service);
    if (queue == null || queue.isEmpty() || sending) {
      return;
    }
    sending = true;
    long nowMs = nowMs();
    WaitingRequestComparator order = new WaitingRequestComparator(nowMs, (long) averageMs(service));
    List<RequestCall> ordered = new ArrayList<>(queue);
    ordered.sort(Comparator.comparing(RequestCall::terms, order));
    QueueScan scan = new QueueScan();
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
    sending = false;
  }

  /**
   * Keeps a request queued, or refuses it if its wait has ended or if, given the requests ahead of
   * it, it is not expected to be sent in time.
   */
  private void keepWaiting(RequestCall call, List<RequestCall> queue, QueueScan scan, long nowMs) {
    scan.recordNoCapacity(call);
    if (nowMs >= call.waitsUntilMs()) {
      call.refuse("waited in vain", RequestCall.BAD_GATEWAY);
    } else if (scan.pausedUntilMs(call) > call.waitsUntilMs()) {
      call.refuse("upstreams are paused", RequestCall.BAD_GATEWAY);
    } else if (admission.isExpectedTooLate(
        scan.ahead(call), scan.sendRate(call), call.waitsUntilMs(), nowMs)) {
      call.refuse("others go before", RequestCall.BAD_GATEWAY);
    } else if (!call.isFinished()) {
      scan.recordWaiting(call);
      queue.add(call);
    }
  }

  /**
   * State of one scan of a service's queue. What one request shows about a range's capacity or an
   * owner's send rate is reused for those after it.
   */
  private final class QueueScan {

    private final Set<String> fullRanges = new HashSet<>();
    private final Map<String, Integer> ahead = new HashMap<>();
    private final Map<String, Double> rates = new HashMap<>();
    private final Map<String, Long> pauses = new HashMap<>();

    /** Returns the owner's id, or an empty string for a request that any upstream may run. */
    private String ownerUpstream(RequestCall call) {
      return owner(call).map(assignment -> assignment.owner().upstream()).orElse("");
    }

    private String rangeId(RequestCall call) {
      return owner(call).map(assignment -> Long.toString(assignment.fence())).orElse("");
    }

    boolean isFull(RequestCall call) {
      return fullRanges.contains(rangeId(call));
    }

    /** Records a lack of capacity; not for a retry, which excludes the upstreams already tried. */
    void recordNoCapacity(RequestCall call) {
      if (call.service().keyed() || call.triedUpstreams().isEmpty()) {
        fullRanges.add(rangeId(call));
      }
    }

    int ahead(RequestCall call) {
      return ahead.getOrDefault(ownerUpstream(call), 0);
    }

    void recordWaiting(RequestCall call) {
      ahead.merge(ownerUpstream(call), 1, Integer::sum);
    }

    long pausedUntilMs(RequestCall call) {
      return pauses.computeIfAbsent(
          ownerUpstream(call), name -> RequestScheduler.this.pausedUntilMs(call));
    }

    double sendRate(RequestCall call) {
      return rates.computeIfAbsent(
          ownerUpstream(call), name -> RequestScheduler.this.expectedSendRate(call));
    }
  }

  /** Processes all queues, after a change of the routing state or after some time. */
  public void tick() {
    List.copyOf(waitingByService.keySet()).forEach(this::sendWaiting);
    misdirections.removeOutdated(nowMs());
  }
}
