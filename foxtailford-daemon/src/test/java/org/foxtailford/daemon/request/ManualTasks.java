package org.foxtailford.daemon.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.foxtailford.testkit.time.FakeMillisClock;

/** Delayed tasks that run when a test moves the clock. */
final class ManualTasks implements TaskScheduler {

  private final FakeMillisClock clock;
  private final List<Task> tasks = new ArrayList<>();

  ManualTasks(FakeMillisClock clock) {
    this.clock = clock;
  }

  private record Task(long atMs, Runnable action) {}

  @Override
  public Runnable schedule(Runnable task, long delayMs) {
    Task planned = new Task(clock.nowMs() + delayMs, task);
    tasks.add(planned);
    return () -> tasks.remove(planned);
  }

  /** Moves the clock and runs what falls due, in order. */
  void advance(long ms) {
    long untilMs = clock.nowMs() + ms;
    while (true) {
      Task next =
          tasks.stream()
              .filter(task -> task.atMs() <= untilMs)
              .min(Comparator.comparingLong(Task::atMs))
              .orElse(null);
      if (next == null) {
        clock.advance(untilMs - clock.nowMs());
        return;
      }
      tasks.remove(next);
      clock.advance(Math.max(0, next.atMs() - clock.nowMs()));
      next.action().run();
    }
  }
}
