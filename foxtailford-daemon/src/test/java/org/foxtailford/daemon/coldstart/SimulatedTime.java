package org.foxtailford.daemon.coldstart;

import java.util.concurrent.atomic.AtomicBoolean;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.daemon.request.TaskScheduler;
import org.foxtailford.testkit.simulation.EventQueue;

/** Simulated time that a test advances, with clocks that differ by a constant offset. */
final class SimulatedTime implements TaskScheduler {

  private final EventQueue events = new EventQueue();

  MillisClock clock(long offsetMs) {
    return () -> events.nowMs() + offsetMs;
  }

  void after(long delayMs, Runnable action) {
    events.schedule(delayMs, action);
  }

  /** Runs an action now and then repeatedly at a fixed interval, without end. */
  void every(long intervalMs, Runnable action) {
    action.run();
    after(intervalMs, () -> every(intervalMs, action));
  }

  @Override
  public Runnable schedule(Runnable task, long delayMs) {
    AtomicBoolean cancelled = new AtomicBoolean();
    after(
        Math.max(0, delayMs),
        () -> {
          if (!cancelled.get()) {
            task.run();
          }
        });
    return () -> cancelled.set(true);
  }

  void advance(long ms) {
    events.runUntil(events.nowMs() + ms);
  }
}
