package org.foxtailford.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The one thread that leadership, membership and configuration run on. A step that fails is logged
 * and ends nothing but itself. Thread-safe.
 */
public final class ControlLoop implements Executor, AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "control"));

  @Override
  public void execute(Runnable step) {
    thread.execute(guarded(step));
  }

  /** Runs a step now and then once an interval, whatever its length. */
  public void atRate(Runnable step, long intervalMs) {
    thread.scheduleAtFixedRate(guarded(step), 0, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Runs a step after a delay and then again as long after each end. */
  public void withDelay(Runnable step, long firstMs, long delayMs) {
    thread.scheduleWithFixedDelay(guarded(step), firstMs, delayMs, TimeUnit.MILLISECONDS);
  }

  private static Runnable guarded(Runnable step) {
    return () -> {
      try {
        step.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("control step failed");
      }
    };
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
