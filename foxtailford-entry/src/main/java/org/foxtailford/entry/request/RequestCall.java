package org.foxtailford.entry.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import org.foxtailford.core.overload.WaitingRequest;
import org.foxtailford.core.poison.RequestFingerprint;
import org.foxtailford.core.route.RouteRule;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.net.proxy.BodyPart;
import org.foxtailford.net.proxy.CallerExchange;
import org.foxtailford.net.proxy.UpstreamFailure;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request from its arrival to its answer. It is sent in one or more attempts; the first
 * acceptable answer is passed on. Confined to the event loop.
 */
final class RequestCall implements CallerExchange.Listener {

  static final int SERVICE_UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;
  static final int BAD_GATEWAY = 502;

  /**
   * Time after the caller's deadline until an answer is overdue, in milliseconds. Upstreams stop
   * their work at the deadline that they were given, which is not later.
   */
  private static final long OVERDUE_MS = 500;

  private final CallerExchange exchange;
  private final RequestScheduler scheduler;
  private final RouteRule route;
  private final ServicePolicy service;
  private final CallerIdentity identity;
  private final OptionalInt key;
  private final String requestId;
  private WaitingRequest terms;
  private final long callerDeadlineMs;
  private final boolean callerHasDeadline;
  private final long configurationVersion;
  private final long configurationAgeMs;
  private final List<Attempt> activeAttempts = new ArrayList<>();
  private final boolean relayed;
  private final AttemptHistory history;
  private OptionalLong fingerprint = OptionalLong.empty();
  private boolean bodyBuffered;
  private boolean mayHaveRun;
  private long disownedFence;
  private boolean finished;
  private boolean settled;
  private OptionalLong callerGoneMs = OptionalLong.empty();
  private long waitsUntilMs;
  private long waitingSinceMs;
  private @Nullable RequestCost cost;
  private Runnable notRunAction = () -> {};
  private @Nullable Attempt winner;
  private @Nullable ScheduledFuture<?> deadlineTimer;
  private @Nullable ScheduledFuture<?> hedgeTimer;

  RequestCall(
      CallerExchange exchange,
      RequestScheduler scheduler,
      RouteRule route,
      ServicePolicy service,
      CallerIdentity identity,
      OptionalInt key,
      String requestId,
      WaitingRequest terms,
      long callerDeadlineMs,
      boolean callerHasDeadline,
      long configurationVersion,
      long configurationAgeMs) {
    this.exchange = exchange;
    this.scheduler = scheduler;
    this.route = route;
    this.service = service;
    this.identity = identity;
    this.key = key;
    this.requestId = requestId;
    this.terms = terms;
    this.callerDeadlineMs = callerDeadlineMs;
    this.callerHasDeadline = callerHasDeadline;
    this.configurationVersion = configurationVersion;
    this.configurationAgeMs = configurationAgeMs;
    this.waitsUntilMs = terms.arrivedMs();
    OptionalInt relayedAfter = RelayHeaders.attempts(exchange.headers());
    this.relayed = relayedAfter.isPresent();
    this.history = new AttemptHistory(relayedAfter.orElse(0));
  }

  CallerExchange exchange() {
    return exchange;
  }

  RouteRule route() {
    return route;
  }

  ServicePolicy service() {
    return service;
  }

  /** Returns the tenant that sent the request; empty if it is not known. */
  Optional<Tenant> tenant() {
    return identity.tenant();
  }

  /** Sets what is done if the request is refused without having run. */
  void setNotRunAction(Runnable action) {
    notRunAction = action;
  }

  /** Returns whether the configuration that decided the request has tenants. */
  boolean hasTenants() {
    return identity.checked();
  }

  OptionalInt key() {
    return key;
  }

  String requestId() {
    return requestId;
  }

  long configurationVersion() {
    return configurationVersion;
  }

  /** Returns the age of the configuration at the request's arrival, as in {@link RoutingView}. */
  long configurationAgeMs() {
    return configurationAgeMs;
  }

  WaitingRequest terms() {
    return terms;
  }

  /** Records the expected service time, in milliseconds, if it is known. */
  void expectWork(OptionalDouble workMs) {
    workMs.ifPresent(ms -> terms = terms.withWorkMs((long) ms));
  }

  /** Returns what is known of the request's cost; empty until it was asked for. */
  Optional<RequestCost> cost() {
    return Optional.ofNullable(cost);
  }

  void setCost(RequestCost newCost) {
    cost = newCost;
  }

  /** Returns the hash of the request's content; without the body if that is too long to buffer. */
  long fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = OptionalLong.of(computeFingerprint());
    }
    return fingerprint.getAsLong();
  }

  private long computeFingerprint() {
    OptionalInt statedKey = scheduler.dialect().key(exchange.headers()); // whatever the service is
    String keyText = statedKey.isPresent() ? Integer.toString(statedKey.getAsInt()) : "";
    ByteBuf body = bodyBuffered ? exchange.bufferedBody().bytes() : Unpooled.EMPTY_BUFFER;
    try {
      return RequestFingerprint.of(
          exchange.method().name(),
          route.host() + exchange.uri(),
          keyText,
          ByteBufUtil.getBytes(body));
    } finally {
      body.release();
    }
  }

  AttemptHistory history() {
    return history;
  }

  /** Returns whether another entry VM has passed the request on, so that this one must not. */
  boolean isRelayed() {
    return relayed;
  }

  /** Returns the time until the caller's own deadline, in milliseconds; 0 if it has passed. */
  long callerRemainingMs(long nowMs) {
    return Math.max(0, callerDeadlineMs - nowMs);
  }

  /** Records that the owner by an assignment with a given fence has disowned the key. */
  void recordDisowned(long fence) {
    disownedFence = fence;
  }

  /** Returns whether the owner by an assignment has disowned the key when it got this request. */
  boolean isDisowned(long fence) {
    return fence == disownedFence;
  }

  boolean isFinished() {
    return finished;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  long waitsUntilMs() {
    return waitsUntilMs;
  }

  void startWaiting(long untilMs, long nowMs) {
    waitsUntilMs = untilMs;
    waitingSinceMs = nowMs;
  }

  long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** Returns whether the request may be sent again if an attempt is lost after it was sent. */
  boolean mayRepeatAfterLoss(Attempt attempt) {
    return winner != attempt && canRetry() && route.kind().isIdempotent();
  }

  /**
   * Returns whether the request can be sent to one more upstream: its route allows that, and its
   * body can be sent as a whole.
   */
  boolean canRetry() {
    return !finished
        && winner == null
        && history.deliveries() < route.maxAttempts()
        && exchange.isBodyWhole();
  }

  void startDeadlineTimer() {
    long nowMs = scheduler.nowMs();
    deadlineTimer = scheduler.schedule(Math.max(0, terms.deadlineMs() - nowMs), this::onDeadline);
  }

  @Override
  public void onBodyReady() {
    if (!finished && history.sends() == 0) {
      bodyBuffered = exchange.isBodyWhole();
      scheduler.submit(this);
    }
  }

  /** Starts an attempt at an upstream. */
  void send(UpstreamHandle upstream) {
    history.recordSend(upstream.entry().id(), scheduler.nowMs());
    waitingSinceMs = 0;
    UpstreamAttempt attempt = new UpstreamAttempt(this, upstream, scheduler);
    activeAttempts.add(attempt);
    attempt.start();
    if (!finished && activeAttempts.contains(attempt)) {
      scheduleHedge(attempt);
    }
  }

  /** Starts an attempt at another entry VM. */
  void relayTo(PeerHandle peer, String subject) {
    history.recordRelay(peer.peer().node(), scheduler.nowMs());
    waitingSinceMs = 0;
    PeerAttempt attempt = new PeerAttempt(this, peer, subject, scheduler);
    activeAttempts.add(attempt);
    attempt.start();
    scheduler.partialReach().watch(this, attempt);
  }

  /**
   * Ends the attempts at upstreams that this VM no longer reaches, unless the request may have run
   * and must not run again.
   */
  void abandonUnreachable() {
    for (Attempt attempt : List.copyOf(activeAttempts)) {
      boolean notSent = !attempt.isSent();
      boolean endable = winner != attempt && (notSent || route.kind().isIdempotent());
      if (endable && attempt instanceof UpstreamAttempt) {
        attempt.abandon();
        onAttemptFailed(attempt, notSent, "cut off from upstreams");
      }
    }
  }

  /** Returns whether an attempt is active. */
  boolean hasActiveAttempt() {
    return !activeAttempts.isEmpty();
  }

  /** Returns whether more than one attempt is active. */
  boolean hasSeveralAttempts() {
    return activeAttempts.size() > 1;
  }

  /** Abandons the attempts at an upstream whose process is gone; the caller starts another one. */
  void abandonAt(UpstreamHandle upstream) {
    for (Attempt attempt : List.copyOf(activeAttempts)) {
      if (attempt instanceof UpstreamAttempt
          && ((UpstreamAttempt) attempt).upstream() == upstream) {
        mayHaveRun |= attempt.isSent();
        activeAttempts.remove(attempt);
        attempt.abandon();
      }
    }
  }

  private void scheduleHedge(UpstreamAttempt attempt) {
    cancel(hedgeTimer);
    if (route.kind().isIdempotent() && !service.keyed()) {
      long delayMs = scheduler.hedgeDelayMs(this, attempt.upstream());
      hedgeTimer = scheduler.schedule(delayMs, () -> onHedgeDelay(attempt));
    }
  }

  private void onHedgeDelay(UpstreamAttempt attempt) {
    if (!finished && winner == null && activeAttempts.contains(attempt)) {
      attempt.upstream().load().recordSilence(scheduler.nowMs());
      scheduler.hedge(this);
    }
  }

  /**
   * Accepts the answer of an attempt and abandons all others.
   *
   * @return false if the request has ended or another answer has been accepted
   */
  boolean accept(Attempt attempt) {
    if (finished || winner != null) {
      return false;
    }
    winner = attempt;
    cancel(hedgeTimer);
    for (Attempt other : List.copyOf(activeAttempts)) {
      if (other != attempt) {
        other.abandon();
      }
    }
    activeAttempts.clear();
    activeAttempts.add(attempt);
    return true;
  }

  /**
   * Handles an attempt without a usable answer. The request is retried or ended once no other
   * attempt is active.
   *
   * @param notRun whether the upstream certainly did not run the request and never will
   */
  void onAttemptFailed(Attempt attempt, boolean notRun, String reason) {
    activeAttempts.remove(attempt);
    if (!notRun) {
      mayHaveRun = true;
    }
    if (finished) {
      return;
    }
    if (winner == attempt) {
      winner = null;
      if (exchange.isAnswerStarted() && !exchange.tryTakeBackAnswer()) {
        finish();
        scheduler.log().aborted(this, attempt.target(), reason);
        exchange.abort();
        return;
      }
    }
    if (activeAttempts.isEmpty()) {
      scheduler.onAttemptsFailed(this, notRun, reason);
    }
  }

  /** Ends the request if its caller has left; returns whether it has. */
  boolean endIfCallerLeft() {
    boolean left = !finished && exchange.hasCallerLeft();
    if (left) {
      scheduler.metrics().recordWithheld(UpstreamFailure.CALLER_LEFT.name());
      onCallerGone();
    }
    return left;
  }

  /**
   * Handles an attempt that was not sent, as its caller had left or its time was up by then; what
   * would tell of that may wait behind other events.
   */
  void onAttemptWithheld(Attempt attempt, UpstreamFailure reason) {
    activeAttempts.remove(attempt);
    if (finished) {
      return;
    }
    scheduler.log().withheld(this, attempt.target(), reason);
    scheduler.metrics().recordWithheld(reason.name());
    if (reason == UpstreamFailure.CALLER_LEFT) {
      onCallerGone();
    } else if (activeAttempts.isEmpty()) {
      onDeadline();
    }
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    if (exchange.isAnswerStarted()) {
      if (callerHasDeadline) { // any other caller may read a long answer for as long as it likes
        scheduler.schedule(overdueDelayMs(), this::onAnswerOverdue);
      }
      return;
    }
    if (history.sends() == 0 || !mayHaveRun && activeAttempts.isEmpty()) {
      refuse("time is up", GATEWAY_TIMEOUT);
    } else {
      fail(GATEWAY_TIMEOUT, "no answer in time");
    }
  }

  /** Returns the time until what the upstreams still send is overdue, in milliseconds. */
  private long overdueDelayMs() {
    return callerRemainingMs(scheduler.nowMs()) + OVERDUE_MS;
  }

  /** Cuts off an answer that goes on after the caller's deadline, perhaps without end. */
  private void onAnswerOverdue() {
    if (!finished) {
      scheduler.log().overdue(this);
      List<Attempt> overdue = List.copyOf(activeAttempts);
      finish();
      overdue.forEach(Attempt::abandonOverdue);
      exchange.abort();
    }
  }

  /**
   * Refuses the request with a retry delay if it has certainly not run and never will; otherwise
   * fails it.
   *
   * @param statusIfRun status of the answer if the request may have run
   */
  void refuse(String reason, int statusIfRun) {
    if (mayHaveRun || !activeAttempts.isEmpty()) {
      fail(statusIfRun, reason);
      return;
    }
    notRunAction.run();
    HttpHeaders headers = new DefaultHttpHeaders();
    long delayMs = scheduler.retryAfterMs(this);
    scheduler.dialect().setRetryAfter(headers, delayMs);
    if (relayed) {
      RelayHeaders.setNotRun(headers, history.isReached());
      if (scheduler.path().isCutOff()) {
        RelayHeaders.setCutOff(headers);
      }
    }
    scheduler.metrics().recordRefusal(reason);
    scheduler.log().refused(this, reason, delayMs);
    answer(SERVICE_UNAVAILABLE, headers);
  }

  /** Ends a request that may have run, without a retry delay. */
  void fail(int status, String reason) {
    scheduler.metrics().recordRefusal(reason);
    scheduler.log().failed(this, reason, status);
    answer(status, new DefaultHttpHeaders());
  }

  private void answer(int status, HttpHeaders headers) {
    finish();
    if (!requestId.isEmpty()) {
      scheduler.dialect().setRequestId(headers, requestId);
    }
    exchange.answer(status, headers, Unpooled.EMPTY_BUFFER);
  }

  @Override
  public void onCallerGone() {
    if (!finished) {
      callerGoneMs = OptionalLong.of(scheduler.nowMs());
      finish();
      scheduler.log().callerGone(this, activeAttempts.size());
    }
  }

  /** Records the end of an attempt, for whatever reason. */
  void onAttemptClosed(boolean abandoned) {
    if (callerGoneMs.isPresent()) {
      long tookMs = scheduler.nowMs() - callerGoneMs.getAsLong();
      scheduler.metrics().recordWorkAfterCaller(abandoned ? "abandoned" : "left to run", tookMs);
    }
  }

  @Override
  public void onBodyPart(BodyPart part) {
    Attempt attempt = activeAttempts.isEmpty() ? null : activeAttempts.get(0);
    if (finished || attempt == null) {
      part.release();
    } else {
      attempt.sendBody(part);
    }
  }

  /** Ends a request whose body is not read to its end; it may have run if a part was sent. */
  @Override
  public boolean onUnreadable(int status, String reason) {
    boolean sent = mayHaveRun || activeAttempts.stream().anyMatch(Attempt::isSent);
    if (sent && !finished) {
      fail(status, reason);
    } else {
      finish();
    }
    return sent;
  }

  @Override
  public void onWritable() {
    if (winner != null) {
      winner.onCallerWritable();
    }
  }

  /** Records the request as answered after the whole answer was written. */
  void onAnswered(Attempt attempt, int status) {
    long tookMs = scheduler.nowMs() - terms.arrivedMs();
    scheduler.metrics().recordAnswer(route.name(), status, tookMs);
    scheduler.log().answered(this, attempt, status);
    activeAttempts.remove(attempt);
    finish();
  }

  /**
   * Ends the request once. Active attempts are abandoned if the request is idempotent, was not sent
   * yet or will not be sent to its end; any other attempt runs to its end, or until its answer is
   * overdue.
   */
  private void finish() {
    if (settled) {
      return;
    }
    settled = true;
    finished = true;
    cancel(deadlineTimer);
    cancel(hedgeTimer);
    if (!activeAttempts.isEmpty()) {
      fingerprint(); // the body is released with the exchange, and an attempt may go on
    }
    for (Attempt attempt : List.copyOf(activeAttempts)) {
      if (route.kind().isIdempotent() || !attempt.isSent() || !exchange.isBodyReceived()) {
        attempt.abandon();
        activeAttempts.remove(attempt);
      } else {
        scheduler.schedule(overdueDelayMs(), attempt::abandonOverdue);
      }
    }
    scheduler.unregister(this);
  }

  private static void cancel(@Nullable ScheduledFuture<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
