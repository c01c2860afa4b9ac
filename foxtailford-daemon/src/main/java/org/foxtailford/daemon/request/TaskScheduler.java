package org.foxtailford.daemon.request;

/** Runs tasks after a delay. Implementations are thread-safe. */
@FunctionalInterface
public interface TaskScheduler {

  /**
   * Schedules a task.
   *
   * @param task what to run
   * @param delayMs when, in milliseconds from now
   * @return cancels the task if it has not run
   */
  Runnable schedule(Runnable task, long delayMs);
}
