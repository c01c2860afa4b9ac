package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Measures how late the event loop runs its tasks: what it does not get to, such as the end of a
 * caller's connection, is late by as much. Confined to the event loop.
 */
final class EventLoopMonitor {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval between measurements, in milliseconds. */
  private static final long INTERVAL_MS = 100;

  /** Delay from which a line is logged, in milliseconds. */
  private static final long LOGGED_DELAY_MS = 250;

  /** Time over which delays are added, in milliseconds. */
  private static final long WINDOW_MS = 1000;

  /** Share of that time from which the sum of the delays is logged. */
  private static final double LOGGED_DELAY_SHARE = 0.2;

  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final Timer delays;
  private long dueMs;
  private long windowStartMs;
  private long windowDelayMs;

  EventLoopMonitor(ScheduledExecutorService loop, MillisClock clock, MeterRegistry registry) {
    this.loop = Assert.notNull(loop, "loop");
    this.clock = Assert.notNull(clock, "clock");
    this.delays =
        Timer.builder("foxtailford.loop.delay")
            .serviceLevelObjectives(
                Duration.ofMillis(50), Duration.ofMillis(LOGGED_DELAY_MS), Duration.ofMillis(1000))
            .register(registry);
  }

  /** Starts the periodic measurement. */
  void start() {
    windowStartMs = clock.nowMs();
    scheduleMeasure();
  }

  private void scheduleMeasure() {
    dueMs = clock.nowMs() + INTERVAL_MS;
    loop.schedule(this::measure, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void measure() {
    long delayMs = Math.max(0, clock.nowMs() - dueMs);
    delays.record(delayMs, TimeUnit.MILLISECONDS);
    if (delayMs >= LOGGED_DELAY_MS) {
      logger
          .atInfo()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.TOOK_MS, delayMs)
          .log("event loop delayed");
    }
    recordSum(delayMs);
    scheduleMeasure();
  }

  /** Tells a loop that is always a little late, of which no single delay is long. */
  private void recordSum(long delayMs) {
    windowDelayMs += delayMs;
    long windowMs = clock.nowMs() - windowStartMs;
    if (windowMs >= WINDOW_MS) {
      if (windowDelayMs >= LOGGED_DELAY_SHARE * windowMs) {
        logger
            .atInfo()
            .with(EventFields.TOOK_MS, windowDelayMs)
            .with(EventFields.AGE_MS, windowMs)
            .log("event loop often delayed");
      }
      windowStartMs = clock.nowMs();
      windowDelayMs = 0;
    }
  }
}
