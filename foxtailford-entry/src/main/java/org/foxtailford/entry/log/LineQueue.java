package org.foxtailford.entry.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Queue of log lines, bounded in number and bytes. Routine lines are also limited in rate.
 *
 * <p>Routine lines are dropped first: they may use only a fraction of the capacity, so that the
 * rest remains for failures. Thread-safe; adding a line never waits for capacity.
 */
public final class LineQueue {

  /** Fraction of the capacity that routine lines may use. */
  private static final double ROUTINE_SHARE = 0.75;

  private final int maxLines;
  private final int maxBytes;
  private final double routinePerMs;
  private final MillisClock clock;
  private final Deque<byte[]> lines = new ArrayDeque<>();
  private int bytes;
  private double routineBudget;
  private long budgetUpdatedMs;
  private long droppedRoutine;
  private long droppedFailures;

  /**
   * Numbers of dropped lines.
   *
   * @param routine number of dropped routine lines
   * @param failures number of dropped lines of failures
   */
  public record Dropped(long routine, long failures) {}

  /**
   * Creates a queue.
   *
   * @param maxLines maximum number of queued lines; positive
   * @param maxBytes maximum size of the queued lines, in bytes; positive
   * @param routinePerSecond maximum rate of routine lines, and their maximum burst; positive
   */
  public LineQueue(int maxLines, int maxBytes, int routinePerSecond, MillisClock clock) {
    Assert.isTrue(maxLines > 0 && maxBytes > 0 && routinePerSecond > 0, "bounds must be positive");
    this.maxLines = maxLines;
    this.maxBytes = maxBytes;
    this.routinePerMs = routinePerSecond / 1000.0;
    this.clock = Assert.notNull(clock, "clock");
    this.routineBudget = routinePerSecond;
    this.budgetUpdatedMs = clock.nowMs();
  }

  /** Adds a line, or counts it as dropped if it exceeds a limit. */
  public synchronized void add(byte[] line, boolean routine) {
    if (routine && !tryTakeBudget()) {
      droppedRoutine++;
      return;
    }
    double share = routine ? ROUTINE_SHARE : 1;
    boolean full = lines.size() >= maxLines * share || bytes + line.length > maxBytes * share;
    if (full && routine) {
      droppedRoutine++;
    } else if (full) {
      droppedFailures++;
    } else {
      lines.add(line);
      bytes += line.length;
      notifyAll();
    }
  }

  private boolean tryTakeBudget() {
    long nowMs = clock.nowMs();
    double accrued = (nowMs - budgetUpdatedMs) * routinePerMs;
    routineBudget = Math.min(1000 * routinePerMs, routineBudget + accrued);
    budgetUpdatedMs = nowMs;
    if (routineBudget < 1) {
      return false;
    }
    routineBudget--;
    return true;
  }

  /** Removes the first line, waiting until there is one. */
  synchronized byte[] take() throws InterruptedException {
    while (lines.isEmpty()) {
      wait();
    }
    return removeFirst();
  }

  /** Removes the first line; empty if there is none. */
  public synchronized Optional<byte[]> poll() {
    return lines.isEmpty() ? Optional.empty() : Optional.of(removeFirst());
  }

  private byte[] removeFirst() {
    byte[] line = lines.removeFirst();
    bytes -= line.length;
    return line;
  }

  /** Returns the numbers of lines dropped since the last call. */
  public synchronized Dropped takeDropped() {
    Dropped dropped = new Dropped(droppedRoutine, droppedFailures);
    droppedRoutine = 0;
    droppedFailures = 0;
    return dropped;
  }
}
