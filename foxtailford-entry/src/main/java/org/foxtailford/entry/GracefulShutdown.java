package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.StopPlan;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.RequestScheduler;
import org.foxtailford.net.proxy.CallerServer;

/** The way of a process to its end, without a lost request. Used on the event loop only. */
final class GracefulShutdown {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long LOOK_MS = 50;

  private final CallerServer callers;
  private final RequestScheduler scheduler;
  private final MillisClock clock;
  private final EventLoop loop;
  private volatile boolean stopping;
  private boolean listening = true;
  private long beganMs;

  GracefulShutdown(
      CallerServer callers, RequestScheduler scheduler, MillisClock clock, EventLoop loop) {
    this.callers = Assert.notNull(callers, "callers");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
  }

  boolean isStopping() {
    return stopping;
  }

  /** Begins to stop; the future is completed when the process may end. */
  void begin(StopPlan plan, CompletableFuture<Void> stopped) {
    if (stopping) {
      return;
    }
    stopping = true;
    beganMs = clock.nowMs();
    callers.drain();
    logger
        .atInfo()
        .with(EventFields.COUNT, (long) scheduler.activeRequests())
        .with(EventFields.LEFT_MS, plan.endMs())
        .log("stopping");
    look(plan, stopped);
  }

  private void look(StopPlan plan, CompletableFuture<Void> stopped) {
    long passedMs = clock.nowMs() - beganMs;
    if (listening && passedMs >= plan.listenMs()) {
      listening = false;
      callers.stopListening();
    }
    int connections = listening ? callers.connections() : callers.closeIdle();
    boolean done = !listening && connections == 0 && scheduler.activeRequests() == 0;
    if (done || passedMs > plan.endMs()) {
      logger
          .atInfo()
          .with(EventFields.COUNT, (long) scheduler.activeRequests())
          .with(EventFields.TOOK_MS, passedMs)
          .log("stopped");
      stopped.complete(null);
    } else {
      loop.schedule(() -> look(plan, stopped), LOOK_MS, TimeUnit.MILLISECONDS);
    }
  }
}
