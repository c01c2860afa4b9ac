package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.LongPredicate;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.WaitingRequest;
import org.foxtailford.core.overload.WeightedTenant;
import org.foxtailford.core.quota.QuotaAdmission;
import org.foxtailford.core.route.RequestKind;
import org.foxtailford.core.route.RouteRule;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.route.WeightedRoundRobin;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.CallerExchange;
import org.foxtailford.net.proxy.CallerHandler;

/**
 * Matches each request to a route, a tenant and a service and passes it to the scheduler. Answers
 * requests that match none, lack a key or can't be parsed. Confined to the event loop.
 */
public final class RequestDispatcher implements CallerHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;

  /** Retry delay sent to callers while no configuration is known or confirmed, in milliseconds. */
  private static final long NO_CONFIGURATION_RETRY_MS = 300;

  /**
   * Retry delay sent to callers whose requests may be over, in milliseconds; what waited with them
   * is served by then.
   */
  private static final long LATE_RETRY_MS = 200;

  /** Retry delay sent to callers of a VM that stops, in milliseconds; any other VM may be ready. */
  private static final long STOPPING_RETRY_MS = 0;

  /**
   * Retry delay sent to callers while the budget of request bodies is used up, in milliseconds;
   * stalled bodies leave it at their deadlines, which are some seconds away at most.
   */
  private static final long BODIES_FULL_RETRY_MS = 500;

  private final RoutingView view;
  private final RequestScheduler scheduler;
  private final CallerAuthentication authentication;
  private final QuotaGate quotas;
  private final LongPredicate intake;
  private final KeyRefusalLog keyRefusals;
  private final WeightedRoundRobin serviceSelector = new WeightedRoundRobin();

  /**
   * Creates a dispatcher.
   *
   * @param intake tells whether a request may be started whose time is up at a time, in
   *     milliseconds of the clock
   */
  public RequestDispatcher(
      RoutingView view,
      RequestScheduler scheduler,
      CallerAuthentication authentication,
      QuotaGate quotas,
      LongPredicate intake,
      MillisClock clock) {
    this.view = Assert.notNull(view, "view");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.authentication = Assert.notNull(authentication, "authentication");
    this.quotas = Assert.notNull(quotas, "quotas");
    this.intake = Assert.notNull(intake, "intake");
    this.keyRefusals = new KeyRefusalLog(scheduler.dialect(), clock);
  }

  @Override
  public void onRequest(CallerExchange exchange) {
    Optional<RoutingConfiguration> configuration = view.configuration();
    if (configuration.isEmpty()) {
      refuse(exchange, "no configuration is known");
      return;
    }
    OptionalLong relayedUnder = RelayHeaders.version(exchange.headers());
    if (relayedUnder.orElse(0) > configuration.get().version()) {
      view.onConfigurationHeardOf(relayedUnder.getAsLong());
      refuse(exchange, "configuration is older than that of the relaying VM");
      return;
    }
    String host = exchange.headers().get(HttpHeaderNames.HOST, "");
    Optional<RouteRule> route = configuration.get().findRoute(host, exchange.path());
    if (route.isEmpty()) {
      answer(exchange, NOT_FOUND, "no route", configuration.get().version());
      return;
    }
    CallerAuthentication.Outcome caller =
        authentication.authenticate(exchange.headers(), route.get(), configuration.get());
    if (caller.refusal().isPresent()) {
      refuseKey(exchange, caller.refusal().get(), route.get(), configuration.get().version());
      return;
    }
    String serviceName = serviceSelector.next(route.get());
    Optional<ServicePolicy> service = configuration.get().findService(serviceName);
    if (service.isEmpty()) {
      refuse(exchange, "service " + serviceName + " is not described");
      return;
    }
    schedule(exchange, route.get(), service.get(), caller.identity(), configuration.get());
  }

  private void schedule(
      CallerExchange exchange,
      RouteRule route,
      ServicePolicy service,
      CallerIdentity identity,
      RoutingConfiguration configuration) {
    if (route.kind() == RequestKind.BULK) {
      exchange.answerAlone();
    }
    OptionalInt key =
        service.keyed() ? scheduler.dialect().key(exchange.headers()) : OptionalInt.empty();
    if (service.keyed() && key.isEmpty()) {
      answer(exchange, BAD_REQUEST, "no key", configuration.version());
      return;
    }
    OptionalLong remainingMs = scheduler.dialect().timeLeftMs(exchange.headers());
    long arrivedMs = exchange.arrivedMs();
    long timeoutAtMs = arrivedMs + route.timeoutMs();
    long callerDeadlineMs =
        remainingMs.isPresent()
            ? exchange.earliestArrivalMs() + remainingMs.getAsLong()
            : timeoutAtMs;
    long deadlineMs = Math.min(callerDeadlineMs, timeoutAtMs);
    if (deadlineMs <= scheduler.nowMs()) {
      refuse(exchange, LATE_RETRY_MS, "time may be up", configuration.version());
      return;
    }
    if (!intake.test(deadlineMs)) {
      refuse(
          exchange,
          STOPPING_RETRY_MS,
          "the VM may end before the request",
          configuration.version());
      return;
    }
    OptionalInt tenantPriority =
        identity.tenant().map(Tenant::priority).orElse(OptionalInt.empty());
    WaitingRequest terms =
        new WaitingRequest(
            tenantPriority.orElse(route.priority()),
            arrivedMs,
            arrivedMs + route.targetLatencyMs(),
            deadlineMs,
            weigh(identity, configuration));
    RequestCall call =
        new RequestCall(
            exchange,
            scheduler,
            route,
            service,
            identity,
            key,
            scheduler.dialect().requestId(exchange.headers()).orElse(""),
            terms,
            arrivedMs + remainingMs.orElse(route.timeoutMs()),
            remainingMs.isPresent(),
            configuration.version(),
            view.configurationAgeMs());
    quotas.admit(exchange, identity.tenant(), decision -> onDecision(exchange, call, decision));
  }

  private void onDecision(CallerExchange exchange, RequestCall call, QuotaGate.Decision decision) {
    QuotaAdmission admission = decision.admission();
    if (admission.outcome() != QuotaAdmission.Outcome.ADMITTED) {
      refuseForQuota(exchange, admission);
      return;
    }
    call.setNotRunAction(decision.putBack());
    scheduler.register(call);
    exchange.setListener(call);
    call.startDeadlineTimer();
    if (decision.bodyReady()) {
      call.onBodyReady();
    }
  }

  /** Answers a request without token. A peer that relayed it may try others only if unknown. */
  private void refuseForQuota(CallerExchange exchange, QuotaAdmission admission) {
    boolean overQuota = admission.outcome() == QuotaAdmission.Outcome.OVER_QUOTA;
    HttpHeaders headers = new DefaultHttpHeaders();
    scheduler.dialect().setRetryAfter(headers, admission.timeMs());
    if (!overQuota) {
      markNotRun(exchange, headers);
    }
    send(
        exchange,
        headers,
        overQuota ? TOO_MANY_REQUESTS : RequestCall.SERVICE_UNAVAILABLE,
        overQuota ? "over quota" : "quota unknown");
  }

  /** Returns the tenant that a request counts for; callers without a known one count as one. */
  private static Optional<WeightedTenant> weigh(
      CallerIdentity identity, RoutingConfiguration configuration) {
    return configuration
        .tenants()
        .map(
            tenants ->
                new WeightedTenant(
                    identity.tenant().map(Tenant::name).orElse(""),
                    tenants.weight(identity.tenant())));
  }

  private void refuse(CallerExchange exchange, String reason) {
    refuse(exchange, NO_CONFIGURATION_RETRY_MS, reason, 0);
  }

  private void refuse(CallerExchange exchange, long retryMs, String reason, long version) {
    HttpHeaders headers = new DefaultHttpHeaders();
    scheduler.dialect().setRetryAfter(headers, retryMs);
    answer(exchange, headers, RequestCall.SERVICE_UNAVAILABLE, reason, version);
  }

  private void answer(CallerExchange exchange, int status, String reason, long version) {
    answer(exchange, new DefaultHttpHeaders(), status, reason, version);
  }

  @Override
  public void onUnreadable(CallerExchange exchange, int status, String reason) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (status == RequestCall.SERVICE_UNAVAILABLE) {
      scheduler.dialect().setRetryAfter(headers, BODIES_FULL_RETRY_MS);
    }
    answer(exchange, headers, status, reason, 0);
  }

  private void answer(
      CallerExchange exchange, HttpHeaders headers, int status, String reason, long version) {
    logger
        .atInfo()
        .with(EventFields.REQUEST, scheduler.dialect().requestId(exchange.headers()).orElse(""))
        .with(EventFields.STATUS, (long) status)
        .with(EventFields.REASON, reason)
        .with(EventFields.VERSION, version)
        .with(EventFields.AGE_MS, view.configurationAgeMs())
        .log("request refused before scheduling");
    markNotRun(exchange, headers);
    send(exchange, headers, status, reason);
  }

  /**
   * Answers a request that is refused for its API key. To a peer, only a refusal that another peer
   * may not share states that the request has not run: the peer would try the others.
   */
  private void refuseKey(
      CallerExchange exchange, KeyRefusal refusal, RouteRule route, long version) {
    boolean retryable = refusal == KeyRefusal.UNCONFIRMED;
    HttpHeaders headers = retryable ? withRetryAfter() : new DefaultHttpHeaders();
    if (retryable) {
      markNotRun(exchange, headers);
    }
    keyRefusals.record(
        refusal, exchange.headers(), route.name(), version, view.configurationAgeMs());
    send(exchange, headers, refusal.status(), refusal.reason());
  }

  private HttpHeaders withRetryAfter() {
    HttpHeaders headers = new DefaultHttpHeaders();
    scheduler.dialect().setRetryAfter(headers, NO_CONFIGURATION_RETRY_MS);
    return headers;
  }

  private static void markNotRun(CallerExchange exchange, HttpHeaders headers) {
    if (RelayHeaders.attempts(exchange.headers()).isPresent()) {
      RelayHeaders.setNotRun(headers, false);
    }
  }

  private void send(CallerExchange exchange, HttpHeaders headers, int status, String reason) {
    scheduler
        .dialect()
        .requestId(exchange.headers())
        .ifPresent(id -> scheduler.dialect().setRequestId(headers, id));
    scheduler.metrics().recordRefusal(reason);
    exchange.answer(status, headers, Unpooled.EMPTY_BUFFER);
  }
}
