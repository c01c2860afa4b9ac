package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.SendPacer;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.LoadReport;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.foxtailford.core.util.Assert;

/**
 * Tells the turns at owners of keys what this VM sees of them, and logs when one is seen full. Used
 * on the event loop only.
 */
final class OwnerTurns {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Part of the usual work within which no upstream fails a request that it has begun. */
  private static final double EARLY_SHARE = 0.1;

  private final RoutingView view;
  private final MillisClock clock;
  private final ToDoubleFunction<String> usualMs;

  /** Creates turns with the usual time of a service's answers, in milliseconds. */
  OwnerTurns(RoutingView view, MillisClock clock, ToDoubleFunction<String> usualMs) {
    this.view = Assert.notNull(view, "view");
    this.clock = Assert.notNull(clock, "clock");
    this.usualMs = Assert.notNull(usualMs, "usualMs");
  }

  /** Returns the length of a turn at an upstream, in milliseconds. */
  double lengthMs(UpstreamHandle upstream) {
    return SendPacer.intervalMs(workMs(upstream), upstream.load().slots(), view.entryVms().size());
  }

  private double workMs(UpstreamHandle upstream) {
    return upstream.load().workMs(usualMs.applyAsDouble(upstream.entry().service()));
  }

  /** Notes that a request goes to an owner. */
  void onSent(UpstreamHandle upstream) {
    upstream.turns().recordSend(lengthMs(upstream), clock.nowMs());
  }

  /** Takes what an upstream reports of its load. */
  void onReport(UpstreamHandle upstream, LoadReport report) {
    long nowMs = clock.nowMs();
    upstream.load().recordReport(report, nowMs);
    change(upstream, "report", turns -> turns.recordReport(report, lengthMs(upstream), nowMs));
  }

  /** Notes that an upstream turned a request away for lack of room. */
  void onShed(UpstreamHandle upstream) {
    long nowMs = clock.nowMs();
    upstream.load().recordRejection(nowMs);
    change(upstream, "refusal", turns -> turns.recordFull(lengthMs(upstream), nowMs));
  }

  /**
   * Notes a connection that was lost while a request was on its way; one that ends long before the
   * work could be done is how some upstreams turn requests away.
   */
  void onLost(UpstreamHandle upstream, double afterMs) {
    long nowMs = clock.nowMs();
    upstream.load().recordConnectionLoss(nowMs);
    if (afterMs < EARLY_SHARE * workMs(upstream)) {
      change(upstream, "early end", turns -> turns.recordFull(lengthMs(upstream), nowMs));
    }
  }

  private void change(UpstreamHandle upstream, String reason, Consumer<SendPacer> change) {
    long nowMs = clock.nowMs();
    UpstreamLoad load = upstream.load();
    boolean before = upstream.turns().isFull(nowMs);
    change.accept(upstream.turns());
    boolean full = upstream.turns().isFull(nowMs);
    if (full != before) {
      logger
          .atInfo()
          .with(EventFields.UPSTREAM, upstream.entry().id())
          .with(EventFields.SERVICE, upstream.entry().service())
          .with(EventFields.REASON, reason)
          .with(EventFields.COUNT, (long) load.occupied(nowMs))
          .log(full ? "upstream full" : "upstream has room");
    }
  }
}
