package org.foxtailford.entry.control;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.testkit.simulation.EventQueue;

/**
 * Event loop of a simulated VM on virtual time. While the VM is paused, nothing runs and its steady
 * clock stands still; what came meanwhile runs afterwards.
 */
final class VirtualLoop extends AbstractExecutorService implements ScheduledExecutorService {

  private final EventQueue events;
  private long pausedUntilMs;
  private long totalPauseMs;
  private boolean ended;

  VirtualLoop(EventQueue events) {
    this.events = events;
  }

  /** Returns the clock that doesn't advance while the VM is paused. */
  MillisClock steadyClock() {
    return () -> events.nowMs() - totalPauseMs;
  }

  /** Pauses the VM from now on; it must not be paused already. */
  void pause(long durationMs) {
    pausedUntilMs = events.nowMs() + durationMs;
    totalPauseMs += durationMs;
  }

  /** Ends the VM; nothing runs any more. */
  void end() {
    ended = true;
  }

  boolean isEnded() {
    return ended;
  }

  @Override
  public void execute(Runnable command) {
    run(command, 0);
  }

  private void run(Runnable command, long delayMs) {
    events.schedule(
        delayMs,
        () -> {
          if (ended) {
            return;
          }
          long pauseMs = pausedUntilMs - events.nowMs();
          if (pauseMs > 0) {
            run(command, pauseMs);
          } else {
            command.run();
          }
        });
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
    Task<?> task = new Task<>(command, 0);
    run(task, unit.toMillis(delay));
    return task;
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable command, long initialDelay, long period, TimeUnit unit) {
    return scheduleWithFixedDelay(command, initialDelay, period, unit);
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable command, long initialDelay, long delay, TimeUnit unit) {
    Task<?> task = new Task<>(command, unit.toMillis(delay));
    run(task, unit.toMillis(initialDelay));
    return task;
  }

  @Override
  public void shutdown() {
    end();
  }

  @Override
  public List<Runnable> shutdownNow() {
    end();
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return ended;
  }

  @Override
  public boolean isTerminated() {
    return ended;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return ended;
  }

  /** Task that repeats until it is cancelled if it has a period. */
  private final class Task<V> extends FutureTask<V> implements ScheduledFuture<V> {

    private final long periodMs;

    Task(Runnable command, long periodMs) {
      super(command, null);
      this.periodMs = periodMs;
    }

    @Override
    public void run() {
      if (periodMs == 0) {
        super.run();
      } else if (runAndReset()) {
        VirtualLoop.this.run(this, periodMs);
      }
    }

    @Override
    public long getDelay(TimeUnit unit) {
      throw new UnsupportedOperationException();
    }

    @Override
    public int compareTo(Delayed other) {
      throw new UnsupportedOperationException();
    }

    @Override
    public boolean equals(Object other) {
      return this == other;
    }

    @Override
    public int hashCode() {
      return System.identityHashCode(this);
    }
  }
}
