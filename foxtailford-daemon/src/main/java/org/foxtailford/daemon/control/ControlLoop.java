package org.foxtailford.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Single-threaded executor for leadership, membership and configuration tasks. An exception that a
 * task throws is logged and does not cancel its later runs or other tasks. Thread-safe.
 */
public final class ControlLoop implements Executor, AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "control"));

  @Override
  public void execute(Runnable task) {
    scheduler.execute(catchFailures(task));
  }

  /** Runs a task immediately and then at a fixed rate, with the interval in milliseconds. */
  public void runAtFixedRate(Runnable task, long intervalMs) {
    scheduler.scheduleAtFixedRate(catchFailures(task), 0, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Runs a task after an initial delay and then with a fixed delay after the end of each run. */
  public void runWithFixedDelay(Runnable task, long initialDelayMs, long delayMs) {
    scheduler.scheduleWithFixedDelay(
        catchFailures(task), initialDelayMs, delayMs, TimeUnit.MILLISECONDS);
  }

  private static Runnable catchFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("control task failed");
      }
    };
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }
}
