package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.ColdUpstreamRateLimiter;
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
 * Places requests at upstreams, lets them wait, sends them again or refuses them; the decisions are
 * those of {@code core.overload} and {@code core.upstream}. Used on the event loop only.
 */
public final class RequestScheduler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time between two looks at the waiting requests, in milliseconds. */
  private static final long TICK_MS = 20;

  /** Requests of a service that may wait. */
  private static final int ROOM = 256;

  /** Usual time of a service without an answer yet, in milliseconds. */
  private static final double FIRST_USUAL_MS = 100;

  private static final double USUAL_WEIGHT = 0.05;

  /** How many times the expected work an answer may take before another upstream is asked. */
  private static final double PATIENCE = 3;

  /** Shortest time before another upstream is asked, in milliseconds. */
  private static final long LEAST_PATIENCE_MS = 120;

  /** Longest idle time of a connection for a request that may run only once, in milliseconds. */
  private static final long ONCE_IDLE_MS = 1000;

  /** What another data centre costs, as part of the aim; large answers are paid by the byte. */
  private static final double BULK_DISTANCE = 0.5;

  private static final double DISTANCE = 0.03;

  /** Requests that an owner of keys may have, in times of its slots: nobody else can take them. */
  private static final double OWNER_ROOM = 1.75;

  /** Time for which keys that their owner refused wait for a newer map, in milliseconds. */
  private static final long MOVE_PAUSE_MS = 150;

  /** Part of the connections to an upstream that are used for requests; the rest is for orders. */
  private static final double CONNECTION_SHARE = 0.9;

  /** Part of the aim that a request may wait once more after a failed send. */
  private static final double AGAIN_WAIT_SHARE = 0.25;

  /** Sends that never left this VM, beside the upstreams that a request may reach. */
  private static final int UNREACHED_SENDS = 3;

  private final EventLoop loop;
  private final MillisClock clock;
  private final RoutingView view;
  private final UpstreamBook book;
  private final ExchangeDialect dialect;
  private final RequestMetrics metrics;
  private final DoubleSupplier random;
  private final String dataCentre;
  private final UpstreamChooser chooser;
  private final ColdUpstreamRateLimiter cold;
  private final OwnerTurns turns;
  private final QueueAdmissionPolicy room = new QueueAdmissionPolicy(ROOM);
  private final Map<String, List<RequestCall>> waiting = new HashMap<>();
  private final Map<String, Double> usualMs = new HashMap<>();
  private final Map<Long, Long> movingFences = new HashMap<>();
  private WindowedRetryBudget retries;
  private int calls;
  private boolean pumping;
  private boolean looking;

  /** Creates a scheduler. */
  public RequestScheduler(
      EventLoop loop,
      MillisClock clock,
      RoutingView view,
      UpstreamBook book,
      ExchangeDialect dialect,
      RequestMetrics metrics,
      WindowedRetryBudget retries,
      DoubleSupplier random,
      String node,
      String dataCentre) {
    this.loop = Assert.notNull(loop, "loop");
    this.clock = Assert.notNull(clock, "clock");
    this.view = Assert.notNull(view, "view");
    this.book = Assert.notNull(book, "book");
    this.dialect = Assert.notNull(dialect, "dialect");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.retries = Assert.notNull(retries, "retries");
    this.random = Assert.notNull(random, "random");
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.chooser = new UpstreamChooser(random);
    this.cold = new ColdUpstreamRateLimiter(node);
    this.turns = new OwnerTurns(view, clock, this::usual);
  }

  /** Replaces the budget of further sends after a change of the settings. */
  public void replaceRetries(WindowedRetryBudget newRetries) {
    retries = Assert.notNull(newRetries, "newRetries");
  }

  /** Returns the number of requests without an answer. */
  public int calls() {
    return calls;
  }

  /** Returns the number of requests that wait. */
  public int waiting() {
    return waiting.values().stream().mapToInt(List::size).sum();
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

  OwnerTurns turns() {
    return turns;
  }

  ScheduledFuture<?> later(long delayMs, Runnable task) {
    return loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  long maxIdleMs(RequestKind kind) {
    return kind.isIdempotent() ? Long.MAX_VALUE : ONCE_IDLE_MS;
  }

  /** Counts a new request. */
  void register(RequestCall call) {
    calls++;
    retries.recordRequest(call.service().name(), nowMs());
    call.key().ifPresent(key -> view.countKey(call.service().name(), key));
  }

  void forget(RequestCall call) {
    calls--;
    List<RequestCall> queue = waiting.get(call.service().name());
    if (queue != null) {
      queue.remove(call);
    }
  }

  /** Sends a request, or lets it wait, or refuses it. */
  void submit(RequestCall call) {
    if (!tryPlace(call)) {
      queue(call);
    }
  }

  private void queue(RequestCall call) {
    long nowMs = nowMs();
    String service = call.service().name();
    long workMs = (long) usual(service);
    long until = room.waitsUntilMs(call.terms(), workMs);
    if (call.sends() > 0) {
      WaitingRequest terms = call.terms();
      long again = (long) (AGAIN_WAIT_SHARE * (terms.targetAtMs() - terms.arrivedMs()));
      until = Math.min(Math.max(until, nowMs + again), terms.deadlineMs() - workMs);
    }
    if (call.service().keyed()) {
      long backMs = ownerBackMs(call, nowMs);
      if (backMs > until) {
        boolean full = isOwnerFull(call, nowMs);
        call.refuse(full ? "owner is full" : "owner out of reach", RequestCall.BAD_GATEWAY);
        return;
      }
      until = backMs < 0 ? Math.min(until, nowMs + MOVE_PAUSE_MS) : until;
    }
    List<RequestCall> queue = waiting.computeIfAbsent(service, name -> new ArrayList<>());
    WaitingRequestComparator order = new WaitingRequestComparator(nowMs, workMs);
    int ahead = 0;
    for (RequestCall other : queue) {
      boolean sameUpstream = !call.service().keyed() || sameOwner(call, other);
      if (sameUpstream && order.compare(other.terms(), call.terms()) <= 0) {
        ahead++;
      }
    }
    if (room.mayWait(ahead, rate(call), until, nowMs)) {
      call.waitUntil(until, nowMs);
      queue.add(call);
      lookLater();
    } else {
      call.refuse("no room", RequestCall.BAD_GATEWAY);
    }
  }

  /** Looks at the waiting requests again soon; an idle VM is not woken. */
  private void lookLater() {
    if (!looking) {
      looking = true;
      loop.schedule(this::look, TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void look() {
    looking = false;
    tick();
    if (waiting() > 0) {
      lookLater();
    }
  }

  /** Returns when a request may go to the owner of its key; negative if that is not known. */
  private long ownerBackMs(RequestCall call, long nowMs) {
    return owner(call)
        .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
        .filter(view.upstreams()::isUsable)
        .map(book::of)
        .map(owner -> Math.max(owner.load().suspendedUntilMs(), owner.turns().nextSendMs(nowMs)))
        .orElse(-1L);
  }

  private boolean isOwnerFull(RequestCall call, long nowMs) {
    return owner(call)
        .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
        .map(entry -> book.of(entry).turns().isFull(nowMs))
        .orElse(false);
  }

  private boolean sameOwner(RequestCall a, RequestCall b) {
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
   * Returns the sends a second that this VM's waiting requests probably get: what the upstreams can
   * do, shared in proportion to the requests that this and other VMs have there.
   */
  private double rate(RequestCall call) {
    long nowMs = nowMs();
    String service = call.service().name();
    Collection<UpstreamEntry> entries =
        call.service().keyed()
            ? owner(call)
                .flatMap(assignment -> view.upstreams().find(assignment.owner().upstream()))
                .map(List::of)
                .orElse(List.of())
            : view.upstreams().usable(service);
    double perSecond = 0;
    double own = 1;
    double all = 1;
    for (UpstreamEntry entry : entries) {
      UpstreamHandle handle = book.of(entry);
      UpstreamLoad load = handle.load();
      if (!load.isSuspended(nowMs)) {
        if (call.service().keyed() && handle.turns().isFull(nowMs)) {
          return 1000 / Math.max(1, turns.lengthMs(handle));
        }
        perSecond += load.slots() * 1000 / Math.max(1, load.workMs(usual(service)));
        own += load.inFlight();
        all += load.occupied(nowMs);
      }
    }
    return perSecond * own / all;
  }

  private double usual(String service) {
    return usualMs.getOrDefault(service, FIRST_USUAL_MS);
  }

  private boolean tryPlace(RequestCall call) {
    Optional<UpstreamHandle> upstream =
        call.service().keyed() ? placeAtOwner(call) : placeAnywhere(call, false);
    upstream.ifPresent(handle -> place(call, handle));
    return upstream.isPresent();
  }

  private void place(RequestCall call, UpstreamHandle handle) {
    long nowMs = nowMs();
    ServicePolicy service = call.service();
    if (view.upstreams().isCold(handle.entry().id(), nowMs)) {
      cold.recordSend(handle.entry().id(), service.coldRequestsPerSecond(), view.entryVms(), nowMs);
    }
    if (service.keyed()) {
      turns.onSent(handle);
    }
    call.send(handle);
  }

  private Optional<UpstreamHandle> placeAtOwner(RequestCall call) {
    long nowMs = nowMs();
    Optional<RangeAssignment> assignment = owner(call);
    if (assignment.isEmpty()) {
      return Optional.empty();
    }
    Long movingUntil = movingFences.get(assignment.get().fence());
    if (movingUntil != null && nowMs < movingUntil) {
      return Optional.empty();
    }
    Optional<UpstreamEntry> entry = view.upstreams().find(assignment.get().owner().upstream());
    if (entry.isEmpty()
        || entry.get().bornMs() != assignment.get().owner().bornMs()
        || !view.upstreams().isUsable(entry.get())) {
      return Optional.empty();
    }
    UpstreamHandle handle = book.of(entry.get());
    handle.pool().setMaxConnections(connectionShare(call.service()));
    boolean free =
        !handle.load().isSuspended(nowMs)
            && handle.turns().nextSendMs(nowMs) <= nowMs
            && handle.pool().hasRoom()
            && handle.load().occupied(nowMs) + 1 <= OWNER_ROOM * handle.load().slots()
            && passesCold(call.service(), entry.get(), nowMs);
    return free ? Optional.of(handle) : Optional.empty();
  }

  private boolean passesCold(ServicePolicy service, UpstreamEntry entry, long nowMs) {
    return !view.upstreams().isCold(entry.id(), nowMs)
        || cold.maySend(entry.id(), service.coldRequestsPerSecond(), view.entryVms(), nowMs);
  }

  private Optional<UpstreamHandle> placeAnywhere(RequestCall call, boolean idleOnly) {
    long nowMs = nowMs();
    ServicePolicy service = call.service();
    int share = connectionShare(service);
    double targetLatencyMs = call.route().targetLatencyMs();
    double distance =
        targetLatencyMs * (call.route().kind() == RequestKind.BULK ? BULK_DISTANCE : DISTANCE);
    Optional<UpstreamEntry> chosen =
        chooser.choose(
            view.upstreams().usable(service.name()),
            entry -> book.of(entry).load(),
            entry ->
                !call.tried().contains(entry.id())
                    && hasRoom(book.of(entry), share, idleOnly, nowMs)
                    && passesCold(service, entry, nowMs),
            entry -> entry.dataCentre().equals(dataCentre) ? 0 : distance,
            usual(service.name()),
            nowMs);
    return chosen.map(book::of);
  }

  /** Returns this VM's part of the connections that an upstream accepts from all of them. */
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

  /** Returns how long to wait for an answer before another upstream is asked, in milliseconds. */
  long patienceMs(RequestCall call, UpstreamHandle upstream) {
    double work = upstream.load().workMs(usual(call.service().name()));
    return Math.max(LEAST_PATIENCE_MS, (long) (PATIENCE * work));
  }

  /** Asks a second upstream while the first is silent, if the budget and its room allow. */
  void hedge(RequestCall call) {
    boolean wanted =
        call.mayBeSentAgain() && call.exchange().isBodyComplete() && !hasWaiting(call.service());
    Optional<UpstreamHandle> upstream = wanted ? placeAnywhere(call, true) : Optional.empty();
    if (upstream.isEmpty()) {
      metrics.notRepeated("silence");
    } else if (tryRepeat(call, "silence")) {
      place(call, upstream.get());
    }
  }

  private boolean hasWaiting(ServicePolicy service) {
    List<RequestCall> queue = waiting.get(service.name());
    return queue != null && !queue.isEmpty();
  }

  private boolean tryRepeat(RequestCall call, String reason) {
    boolean allowed = retries.tryRetry(call.service().name(), view.entryVms().size(), nowMs());
    if (allowed) {
      metrics.repeated(reason);
    } else {
      metrics.notRepeated(reason);
    }
    logger
        .atInfo()
        .with(EventFields.REQUEST, call.requestId())
        .with(EventFields.SERVICE, call.service().name())
        .with(EventFields.REASON, reason)
        .with(EventFields.ATTEMPTS, (long) call.sends())
        .log(allowed ? "request sent again" : "request not sent again: budget");
    return allowed;
  }

  /** Decides what becomes of a request whose last send brought nothing. */
  void afterFailure(RequestCall call, boolean notRun, String reason) {
    boolean allowedToRun = call.route().kind().isIdempotent() || !call.mayHaveRun();
    boolean possible =
        allowedToRun
            && call.mayBeSentAgain()
            && call.sends() < call.route().maxAttempts() + UNREACHED_SENDS
            && call.exchange().isBodyComplete()
            && call.terms().deadlineMs() - nowMs() > usual(call.service().name()) / 2;
    boolean reached = call.arrivals() > 0;
    if (possible && (!reached || tryRepeat(call, reason))) {
      submit(call);
    } else if (call.mayHaveRun()) {
      call.fail(RequestCall.BAD_GATEWAY, reason);
    } else {
      call.refuse(reason, RequestCall.BAD_GATEWAY);
    }
  }

  /** Notes that an owner does not own a key as the map says: its keys wait for a newer map. */
  void onMisdirected(RequestCall call, UpstreamHandle upstream) {
    if (call.key().isEmpty()) {
      upstream.load().recordUnreachable(nowMs());
      return;
    }
    owner(call)
        .ifPresent(
            assignment -> {
              movingFences.put(assignment.fence(), nowMs() + MOVE_PAUSE_MS);
              view.onWrongOwner(call.service().name(), call.key().getAsInt());
            });
  }

  /**
   * Learns how long a service takes.
   *
   * @param waited whether the upstream had requests waiting, so that the time is not all work
   */
  void learn(UpstreamHandle upstream, double tookMs, boolean waited) {
    UpstreamEntry entry = upstream.entry();
    usualMs.merge(entry.service(), tookMs, (old, took) -> old + USUAL_WEIGHT * (took - old));
    if (!waited) {
      view.countWork(entry, tookMs / upstream.load().slowness());
    }
  }

  long retryAfterMs(RequestCall call) {
    List<RequestCall> queue = waiting.get(call.service().name());
    int before = queue == null ? 0 : queue.size();
    return room.retryAfterMs(before, rate(call), call.callerLeftMs(nowMs()), random.getAsDouble());
  }

  /** Sends waiting requests of a service, as far as there is room. */
  public void pump(String service) {
    List<RequestCall> queue = waiting.get(service);
    if (queue == null || queue.isEmpty() || pumping) {
      return;
    }
    pumping = true;
    long nowMs = nowMs();
    WaitingRequestComparator order = new WaitingRequestComparator(nowMs, (long) usual(service));
    List<RequestCall> due = new ArrayList<>(queue);
    due.sort(Comparator.comparing(RequestCall::terms, order));
    Pass pass = new Pass();
    queue.clear();
    for (RequestCall call : due) {
      if (!call.isOver()) {
        if (!pass.isFull(call) && tryPlace(call)) {
          metrics.waited(service, nowMs - call.waitingSinceMs());
        } else {
          waitOn(call, queue, pass, nowMs);
        }
      }
    }
    pumping = false;
  }

  /**
   * Keeps a request in the queue, or refuses it if its time is up or those before it are too many.
   */
  private void waitOn(RequestCall call, List<RequestCall> queue, Pass pass, long nowMs) {
    pass.found(call);
    if (nowMs >= call.waitsUntilMs()) {
      call.refuse("waited in vain", RequestCall.BAD_GATEWAY);
    } else if (room.isExpectedTooLate(
        pass.ahead(call), pass.rate(call), call.waitsUntilMs(), nowMs)) {
      call.refuse("others go before", RequestCall.BAD_GATEWAY);
    } else if (!call.isOver()) {
      pass.stays(call);
      queue.add(call);
    }
  }

  /** What one pass over the waiting requests of a service found: one of them tells for others. */
  private final class Pass {

    private final Set<String> full = new HashSet<>();
    private final Map<String, Integer> ahead = new HashMap<>();
    private final Map<String, Double> rates = new HashMap<>();

    /** Returns the upstream that alone may take a request; empty if several may. */
    private String upstream(RequestCall call) {
      return owner(call).map(assignment -> assignment.owner().upstream()).orElse("");
    }

    private String keys(RequestCall call) {
      return owner(call).map(assignment -> Long.toString(assignment.fence())).orElse("");
    }

    boolean isFull(RequestCall call) {
      return full.contains(keys(call));
    }

    /** Notes that there is no room for a request; one that was sent before has fewer choices. */
    void found(RequestCall call) {
      if (call.service().keyed() || call.tried().isEmpty()) {
        full.add(keys(call));
      }
    }

    int ahead(RequestCall call) {
      return ahead.getOrDefault(upstream(call), 0);
    }

    void stays(RequestCall call) {
      ahead.merge(upstream(call), 1, Integer::sum);
    }

    double rate(RequestCall call) {
      return rates.computeIfAbsent(upstream(call), name -> RequestScheduler.this.rate(call));
    }
  }

  /** Looks at all waiting requests, after a change of what is known or of time. */
  public void tick() {
    List.copyOf(waiting.keySet()).forEach(this::pump);
    if (!movingFences.isEmpty()) {
      long nowMs = nowMs();
      movingFences.values().removeIf(until -> nowMs >= until);
    }
  }
}
