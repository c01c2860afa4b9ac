package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.StopPlan;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.RequestScheduler;
import org.foxtailford.net.proxy.CallerServer;

/**
 * Shuts the process down without losing requests. Confined to the event loop, except for {@link
 * #isStopping}.
 */
final class GracefulShutdown {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long POLL_INTERVAL_MS = 50;

  private final CallerServer callers;
  private final RequestScheduler scheduler;
  private final LongSupplier maxRequestMs;
  private final MillisClock clock;
  private final EventLoop loop;
  private volatile boolean stopping;
  private boolean listening = true;
  private long startedMs;

  /**
   * Creates a shutdown that has not begun.
   *
   * @param maxRequestMs maximum duration of a request under the configuration in force, in
   *     milliseconds
   */
  GracefulShutdown(
      CallerServer callers,
      RequestScheduler scheduler,
      LongSupplier maxRequestMs,
      MillisClock clock,
      EventLoop loop) {
    this.callers = Assert.notNull(callers, "callers");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.maxRequestMs = Assert.notNull(maxRequestMs, "maxRequestMs");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
  }

  boolean isStopping() {
    return stopping;
  }

  /** Begins the shutdown unless it has begun; completes the future when the process may exit. */
  void begin(StopPlan plan, CompletableFuture<Void> stopped) {
    if (stopping) {
      return;
    }
    stopping = true;
    startedMs = clock.nowMs();
    callers.drain();
    logger
        .atInfo()
        .with(EventFields.COUNT, (long) scheduler.activeRequests())
        .with(EventFields.LEFT_MS, plan.endMs())
        .log("stopping");
    poll(plan, stopped);
  }

  private void poll(StopPlan plan, CompletableFuture<Void> stopped) {
    long elapsedMs = clock.nowMs() - startedMs;
    if (listening) {
      stopListeningIfDue(plan, elapsedMs);
    }
    int connections = listening ? callers.connections() : callers.closeIdle();
    boolean done = !listening && connections == 0 && scheduler.activeRequests() == 0;
    if (done || elapsedMs > plan.endMs()) {
      logger
          .atInfo()
          .with(EventFields.COUNT, (long) scheduler.activeRequests())
          .with(EventFields.TOOK_MS, elapsedMs)
          .log("stopped");
      stopped.complete(null);
    } else {
      loop.schedule(() -> poll(plan, stopped), POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void stopListeningIfDue(StopPlan plan, long elapsedMs) {
    long requestMs = maxRequestMs.getAsLong();
    if (elapsedMs < plan.listenMs(requestMs)) {
      return;
    }
    listening = false;
    callers.stopListening();
    logger
        .atInfo()
        .with(EventFields.COUNT, (long) callers.connections())
        .with(EventFields.TOOK_MS, elapsedMs)
        .with(EventFields.REASON, "requests may last " + requestMs + " ms")
        .log("stopped listening");
  }
}
