package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.exchange.ExchangeDialect;

/**
 * Records what upstreams state about themselves in their answers: pauses, limits and that they are
 * leaving. Confined to the event loop.
 */
final class UpstreamStatements {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RoutingView view;
  private final ExchangeDialect dialect;
  private final RequestMetrics metrics;
  private final MillisClock clock;

  UpstreamStatements(
      RoutingView view, ExchangeDialect dialect, RequestMetrics metrics, MillisClock clock) {
    this.view = Assert.notNull(view, "view");
    this.dialect = Assert.notNull(dialect, "dialect");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Records that an upstream said that it is leaving. */
  void onLeaving(UpstreamHandle upstream) {
    view.onLeaving(upstream.entry());
  }

  /** Pauses an upstream that asked for it, unless its time can't be read. */
  void onPauseRequested(RequestCall call, UpstreamHandle upstream, HttpHeaders headers) {
    OptionalLong pauseMs = dialect.retryAfterMs(headers);
    metrics.recordPause(pauseMs.isPresent() ? "obeyed" : "unreadable");
    if (pauseMs.isPresent()) {
      upstream.load().recordPause(pauseMs.getAsLong(), clock.nowMs());
      logger
          .atInfo()
          .with(EventFields.REQUEST, call.requestId())
          .with(EventFields.SERVICE, upstream.entry().service())
          .with(EventFields.UPSTREAM, upstream.entry().id())
          .with(EventFields.RETRY_AFTER_MS, pauseMs.getAsLong())
          .log("upstream paused");
    }
  }

  /** Records that an upstream named the requests per second that it takes from all VMs. */
  void onLimitNamed(RequestCall call, UpstreamHandle upstream, HttpHeaders headers) {
    OptionalDouble perSecond = dialect.limitPerSecond(headers);
    metrics.recordLimit(perSecond.isPresent() ? "readable" : "unreadable");
    if (perSecond.isPresent()) {
      upstream.limit().record(perSecond.getAsDouble(), view.entryVms().size(), clock.nowMs());
      view.countLimit(upstream.entry(), perSecond);
      logger
          .atInfo()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.REQUEST, call.requestId())
          .with(EventFields.SERVICE, upstream.entry().service())
          .with(EventFields.UPSTREAM, upstream.entry().id())
          .with(EventFields.REASON, perSecond.getAsDouble() + " a second")
          .log("upstream names a limit");
    }
  }

  /** Records that an upstream ran a request and named no limit, which ends an earlier one. */
  void onNoLimitNamed(UpstreamHandle upstream) {
    view.countLimit(upstream.entry(), OptionalDouble.empty()); // also for a new incarnation
    if (upstream.limit().recordNone(clock.nowMs())) {
      logger
          .atInfo()
          .with(EventFields.SERVICE, upstream.entry().service())
          .with(EventFields.UPSTREAM, upstream.entry().id())
          .log("upstream names no limit any more");
    }
  }
}
