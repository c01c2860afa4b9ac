package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.RequestScheduler;
import org.foxtailford.net.proxy.CallerServer;

/** The way of a process to its end, without a lost request. Used on the event loop only. */
final class StopProgress {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Part of the time to stop after which open connections without a request are closed. */
  private static final double CLOSE_IDLE_SHARE = 0.4;

  /** Part of the time to stop after which the process ends, whatever is left. */
  private static final double END_SHARE = 0.93;

  private static final long LOOK_MS = 50;

  private final CallerServer callers;
  private final RequestScheduler scheduler;
  private final MillisClock clock;
  private final EventLoop loop;
  private volatile boolean stopping;
  private long beganMs;

  StopProgress(
      CallerServer callers, RequestScheduler scheduler, MillisClock clock, EventLoop loop) {
    this.callers = Assert.notNull(callers, "callers");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
  }

  boolean isStopping() {
    return stopping;
  }

  void begin(long stopMs, CompletableFuture<Void> stopped) {
    if (stopping) {
      return;
    }
    stopping = true;
    beganMs = clock.nowMs();
    callers.drain();
    logger
        .atInfo()
        .with(EventFields.COUNT, (long) scheduler.calls())
        .with(EventFields.LEFT_MS, stopMs)
        .log("stopping");
    look(stopMs, stopped);
  }

  private void look(long stopMs, CompletableFuture<Void> stopped) {
    long passedMs = clock.nowMs() - beganMs;
    boolean closing = passedMs > CLOSE_IDLE_SHARE * stopMs;
    int connections = closing ? callers.closeIdle() : callers.connections();
    boolean done = closing && connections == 0 && scheduler.calls() == 0;
    if (done || passedMs > END_SHARE * stopMs) {
      logger
          .atInfo()
          .with(EventFields.COUNT, (long) scheduler.calls())
          .with(EventFields.TOOK_MS, passedMs)
          .log("stopped");
      stopped.complete(null);
    } else {
      loop.schedule(() -> look(stopMs, stopped), LOOK_MS, TimeUnit.MILLISECONDS);
    }
  }
}
