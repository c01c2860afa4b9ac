package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.quota.QuotaAdmission;
import org.foxtailford.core.quota.QuotaLimit;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.CallerExchange;
import org.jspecify.annotations.Nullable;

/**
 * Admits requests of tenants with a limit while they have tokens. A request that no token is at
 * hand for waits for the holder's answer. Confined to the event loop.
 */
public final class QuotaGate {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum time for which a request waits for tokens, in milliseconds. */
  static final long MAX_WAIT_MS = 300;

  /** Minimum interval between log lines of a tenant, in milliseconds. */
  private static final long LOG_INTERVAL_MS = 1000;

  private final TokenSource tokens;
  private final RequestMetrics metrics;
  private final MillisClock clock;
  private final ScheduledExecutorService loop;
  private final Set<Waiting> waiting = new LinkedHashSet<>();
  private final Map<String, Rejections> rejectionsByTenant = new HashMap<>();

  private static final class Rejections {
    private long loggedMs;
    private long count;
  }

  /** Creates a gate. */
  public QuotaGate(
      TokenSource tokens,
      RequestMetrics metrics,
      MillisClock clock,
      ScheduledExecutorService loop) {
    this.tokens = Assert.notNull(tokens, "tokens");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
  }

  /**
   * Passes the decision on a request to a consumer, at once or after a wait; never if its caller
   * has gone meanwhile. The consumer sets the listener of the exchange.
   */
  void admit(CallerExchange exchange, Optional<Tenant> tenant, Consumer<Decision> then) {
    if (tenant.isEmpty() || !tenant.get().hasQuota()) {
      then.accept(Decision.UNLIMITED);
      return;
    }
    String name = tenant.get().name();
    QuotaAdmission admission = tokens.request(name);
    if (admission.outcome() == QuotaAdmission.Outcome.PENDING) {
      new Waiting(exchange, name, then).start();
    } else {
      then.accept(decide(name, admission, false));
    }
  }

  /** Decides on waiting requests after an answer of a holder. */
  public void onTokens() {
    for (Waiting request : List.copyOf(waiting)) {
      QuotaAdmission admission = tokens.decide(request.tenant);
      if (admission.outcome() != QuotaAdmission.Outcome.PENDING) {
        request.end(admission);
      }
    }
  }

  private Decision decide(String tenant, QuotaAdmission admission, boolean bodyReady) {
    metrics.recordQuota(tenant, admission.outcome().name());
    if (admission.outcome() != QuotaAdmission.Outcome.ADMITTED) {
      logRejection(tenant, admission);
    }
    return new Decision(admission, bodyReady, () -> tokens.putBack(tenant, admission));
  }

  private void logRejection(String tenant, QuotaAdmission admission) {
    rejectionsByTenant.keySet().removeIf(name -> tokens.limit(name).isEmpty());
    Rejections rejections = rejectionsByTenant.computeIfAbsent(tenant, name -> new Rejections());
    rejections.count++;
    long nowMs = clock.nowMs();
    if (rejections.loggedMs > 0 && nowMs - rejections.loggedMs < LOG_INTERVAL_MS) {
      return;
    }
    QuotaLimit limit = tokens.limit(tenant).orElse(new QuotaLimit(1, 0));
    logger
        .atInfo()
        .with(EventFields.TENANT, tenant)
        .with(EventFields.QUOTA, limit.ratePerSecond() + "/s+" + limit.burst())
        .with(EventFields.SHARE_PPM, (long) tokens.sharePpm(tenant))
        .with(EventFields.AGE_MS, tokens.answerAgeMs())
        .with(EventFields.REASON, admission.outcome().name())
        .with(EventFields.COUNT, rejections.count)
        .with(EventFields.RETRY_AFTER_MS, admission.timeMs())
        .log("requests refused for a quota");
    rejections.loggedMs = nowMs;
    rejections.count = 0;
  }

  /**
   * Decision on a request.
   *
   * @param admission whether the request is admitted
   * @param bodyReady whether the event that the body is ready has occurred during the wait
   * @param putBack returns the token if the request is rejected later without having run
   */
  record Decision(QuotaAdmission admission, boolean bodyReady, Runnable putBack) {

    private static final Decision UNLIMITED =
        new Decision(new QuotaAdmission(QuotaAdmission.Outcome.ADMITTED, 0), false, () -> {});
  }

  /** A request for which a holder has been asked. */
  private final class Waiting implements CallerExchange.Listener {

    private final CallerExchange exchange;
    private final String tenant;
    private final Consumer<Decision> then;
    private boolean bodyReady;
    private @Nullable ScheduledFuture<?> timer;

    Waiting(CallerExchange exchange, String tenant, Consumer<Decision> then) {
      this.exchange = exchange;
      this.tenant = tenant;
      this.then = then;
    }

    void start() {
      waiting.add(this);
      exchange.setListener(this);
      timer =
          loop.schedule(
              () -> end(tokens.withoutHolder(tenant)), MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    void end(QuotaAdmission admission) {
      if (remove()) {
        then.accept(decide(tenant, admission, bodyReady));
      }
    }

    private boolean remove() {
      if (!waiting.remove(this)) {
        return false;
      }
      tokens.endWait(tenant);
      if (timer != null) {
        timer.cancel(false);
      }
      return true;
    }

    @Override
    public void onBodyReady() {
      bodyReady = true;
    }

    @Override
    public void onCallerGone() {
      remove();
    }
  }
}
