package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.Optional;
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
  private Optional<StopPlan> plan = Optional.empty();
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
  void begin(StopPlan newPlan, CompletableFuture<Void> stopped) {
    if (stopping) {
      return;
    }
    stopping = true;
    plan = Optional.of(newPlan);
    startedMs = clock.nowMs();
    callers.drain();
    logger
        .atInfo()
        .with(EventFields.COUNT, (long) scheduler.activeRequests())
        .with(EventFields.LEFT_MS, newPlan.endMs())
        .log("stopping");
    poll(newPlan, stopped);
  }

  /**
   * Returns whether a request may be started now.
   *
   * @param deadlineMs when the request's time is up, in milliseconds of the clock
   */
  boolean mayStart(long deadlineMs) {
    long elapsedMs = clock.nowMs() - startedMs;
    return plan.map(p -> p.mayStart(elapsedMs, deadlineMs - startedMs)).orElse(true);
  }

  private void poll(StopPlan current, CompletableFuture<Void> stopped) {
    long elapsedMs = clock.nowMs() - startedMs;
    if (listening) {
      stopListeningIfDue(current, elapsedMs);
    }
    int connections = listening ? callers.connections() : callers.closeIdle();
    boolean done = !listening && connections == 0 && scheduler.activeRequests() == 0;
    if (done || elapsedMs > current.endMs()) {
      logger
          .atInfo()
          .with(EventFields.COUNT, (long) scheduler.activeRequests())
          .with(EventFields.TOOK_MS, elapsedMs)
          .log("stopped");
      stopped.complete(null);
    } else {
      loop.schedule(() -> poll(current, stopped), POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void stopListeningIfDue(StopPlan current, long elapsedMs) {
    long requestMs = maxRequestMs.getAsLong();
    if (elapsedMs < current.listenMs(requestMs)) {
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
