package org.foxtailford.daemon.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.foxtailford.testkit.time.FakeMillisClock;

/** Scheduler that runs due tasks on the calling thread when a test advances the clock. */
final class ManualTaskScheduler implements TaskScheduler {

  private final FakeMillisClock clock;
  private final List<ScheduledTask> tasks = new ArrayList<>();

  ManualTaskScheduler(FakeMillisClock clock) {
    this.clock = clock;
  }

  private record ScheduledTask(long dueMs, Runnable action) {}

  @Override
  public Runnable schedule(Runnable task, long delayMs) {
    ScheduledTask scheduled = new ScheduledTask(clock.nowMs() + delayMs, task);
    tasks.add(scheduled);
    return () -> tasks.remove(scheduled);
  }

  /** Advances the clock and runs the tasks that become due, in the order of their due times. */
  void advance(long ms) {
    long endMs = clock.nowMs() + ms;
    while (true) {
      ScheduledTask next =
          tasks.stream()
              .filter(task -> task.dueMs() <= endMs)
              .min(Comparator.comparingLong(ScheduledTask::dueMs))
              .orElse(null);
      if (next == null) {
        clock.advance(endMs - clock.nowMs());
        return;
      }
      tasks.remove(next);
      clock.advance(Math.max(0, next.dueMs() - clock.nowMs()));
      next.action().run();
    }
  }
}
