package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.SendPacer;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.LoadReport;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.foxtailford.core.util.Assert;

/**
 * Updates the load and the send pacing of key owners from sends, load reports and failures, and
 * logs when an owner becomes full or has room again. Confined to the event loop.
 */
final class OwnerSendPacing {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Fraction of the service time. A connection that is lost earlier is counted as a rejection,
   * since no upstream fails a request that it has begun so soon.
   */
  private static final double EARLY_LOSS_SHARE = 0.1;

  private final RoutingView view;
  private final MillisClock clock;
  private final ToDoubleFunction<UpstreamHandle> workMs;

  /**
   * Creates the pacing.
   *
   * @param workMs returns the expected time of a request of average cost, in milliseconds
   */
  OwnerSendPacing(RoutingView view, MillisClock clock, ToDoubleFunction<UpstreamHandle> workMs) {
    this.view = Assert.notNull(view, "view");
    this.clock = Assert.notNull(clock, "clock");
    this.workMs = Assert.notNull(workMs, "workMs");
  }

  /** Returns the interval between two sends of this VM to a full upstream, in milliseconds. */
  double intervalMs(UpstreamHandle upstream) {
    return SendPacer.intervalMs(
        workMs.applyAsDouble(upstream), upstream.load().slots(), view.entryVms().size());
  }

  /**
   * Records that a request is sent to an owner.
   *
   * @param relativeCost expected cost of the request; 1 is the average of its service
   */
  void recordSend(UpstreamHandle upstream, double relativeCost) {
    upstream.pacer().recordSend(relativeCost * intervalMs(upstream), clock.nowMs());
  }

  /** Applies a load report of an upstream. */
  void recordReport(UpstreamHandle upstream, LoadReport report) {
    long nowMs = clock.nowMs();
    upstream.load().recordReport(report, nowMs);
    view.countSlowness(upstream.entry(), report.slowness());
    update(upstream, "report", pacer -> pacer.recordReport(report, intervalMs(upstream), nowMs));
  }

  /**
   * Records that an upstream rejected a request.
   *
   * @param statedLoad load that the rejection states, already recorded; empty if it states none
   */
  void recordRejection(UpstreamHandle upstream, Optional<LoadReport> statedLoad) {
    long nowMs = clock.nowMs();
    if (statedLoad.isPresent()) {
      upstream.load().recordErrorResponse(nowMs);
    } else {
      upstream.load().recordRejection(nowMs);
    }
    update(
        upstream,
        "refusal",
        pacer -> pacer.recordRejection(statedLoad, intervalMs(upstream), nowMs));
  }

  /**
   * Records a connection that was lost before the answer. Some upstreams reject requests by closing
   * the connection, long before the work could be done; such a loss marks the upstream as full.
   *
   * @param afterMs time since the request was sent, in milliseconds
   */
  void recordConnectionLoss(UpstreamHandle upstream, double afterMs) {
    long nowMs = clock.nowMs();
    upstream.load().recordConnectionLoss(nowMs);
    if (afterMs < EARLY_LOSS_SHARE * workMs.applyAsDouble(upstream)) {
      update(upstream, "early end", pacer -> pacer.recordFull(intervalMs(upstream), nowMs));
    }
  }

  private void update(UpstreamHandle upstream, String reason, Consumer<SendPacer> update) {
    long nowMs = clock.nowMs();
    UpstreamLoad load = upstream.load();
    boolean wasFull = upstream.pacer().isFull(nowMs);
    update.accept(upstream.pacer());
    boolean isFull = upstream.pacer().isFull(nowMs);
    if (isFull != wasFull) {
      logger
          .atInfo()
          .with(EventFields.UPSTREAM, upstream.entry().id())
          .with(EventFields.SERVICE, upstream.entry().service())
          .with(EventFields.REASON, reason)
          .with(EventFields.COUNT, (long) load.occupied(nowMs))
          .log(isFull ? "upstream full" : "upstream has room");
    }
  }
}
