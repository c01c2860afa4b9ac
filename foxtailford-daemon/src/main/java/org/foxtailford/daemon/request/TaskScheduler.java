package org.foxtailford.daemon.request;

/** Schedules tasks to run once after a delay. Implementations are thread-safe. */
@FunctionalInterface
public interface TaskScheduler {

  /**
   * Schedules a task.
   *
   * @param task task to run
   * @param delayMs delay from now, in milliseconds
   * @return action that cancels the task; without effect once the task has run
   */
  Runnable schedule(Runnable task, long delayMs);
}
