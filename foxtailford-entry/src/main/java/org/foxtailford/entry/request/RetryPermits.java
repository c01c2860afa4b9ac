package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.WindowedRetryBudget;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.settings.EntrySettings;

/** Allows retries and hedges within the retry budget of a service. Confined to the event loop. */
final class RetryPermits {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RoutingView view;
  private final RequestMetrics metrics;
  private final MillisClock clock;
  private WindowedRetryBudget budget;

  RetryPermits(
      WindowedRetryBudget budget, RoutingView view, RequestMetrics metrics, MillisClock clock) {
    this.budget = Assert.notNull(budget, "budget");
    this.view = Assert.notNull(view, "view");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  void replaceBounds(EntrySettings.Bounds bounds) {
    budget = budget.withBounds(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMs());
  }

  /** Records a new request, which adds to the budget. */
  void recordRequest(RequestCall call) {
    budget.recordRequest(call.service().name(), clock.nowMs());
  }

  /** Returns whether the budget allows to send a request again, and takes from it if so. */
  boolean tryRetry(RequestCall call, String reason) {
    int entryVms = view.entryVms().size();
    boolean allowed = budget.tryRetry(call.service().name(), entryVms, clock.nowMs());
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
        .with(EventFields.ATTEMPTS, (long) call.history().sends())
        .with(EventFields.COUNT, (long) entryVms)
        .log(allowed ? "request retried" : "retry denied by budget");
    return allowed;
  }
}
