package org.foxtailford.entry.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Lines that wait to be written, bounded in number and bytes, and routine lines in number a second.
 *
 * <p>When it is full, routine lines are dropped first: they may use only a part of the room, so
 * that failures find a place. Thread-safe; never blocks a writer of lines.
 */
public final class LineQueue {

  /** Part of the room that routine lines may use. */
  private static final double ROUTINE_SHARE = 0.75;

  private final int maxLines;
  private final int maxBytes;
  private final double routinePerMs;
  private final MillisClock clock;
  private final Deque<byte[]> lines = new ArrayDeque<>();
  private int bytes;
  private double routineBudget;
  private long budgetAtMs;
  private long droppedRoutine;
  private long droppedFailures;

  /**
   * Lines that were dropped since the last question.
   *
   * @param routine lines of routine decisions
   * @param failures lines of failures
   */
  public record Dropped(long routine, long failures) {}

  /**
   * Creates a queue.
   *
   * @param maxLines lines that may wait
   * @param maxBytes bytes that may wait
   * @param routinePerSecond routine lines that may come in a second; as many may come at once
   */
  public LineQueue(int maxLines, int maxBytes, int routinePerSecond, MillisClock clock) {
    Assert.isTrue(maxLines > 0 && maxBytes > 0 && routinePerSecond > 0, "bounds must be positive");
    this.maxLines = maxLines;
    this.maxBytes = maxBytes;
    this.routinePerMs = routinePerSecond / 1000.0;
    this.clock = Assert.notNull(clock, "clock");
    this.routineBudget = routinePerSecond;
    this.budgetAtMs = clock.nowMs();
  }

  /** Adds a line, or counts it as dropped. */
  public synchronized void add(byte[] line, boolean routine) {
    if (routine && !takeBudget()) {
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

  private boolean takeBudget() {
    long nowMs = clock.nowMs();
    double earned = (nowMs - budgetAtMs) * routinePerMs;
    routineBudget = Math.min(1000 * routinePerMs, routineBudget + earned);
    budgetAtMs = nowMs;
    if (routineBudget < 1) {
      return false;
    }
    routineBudget--;
    return true;
  }

  /** Takes the first line, waiting for one. */
  synchronized byte[] take() throws InterruptedException {
    while (lines.isEmpty()) {
      wait();
    }
    return removeFirst();
  }

  /** Takes the first line if there is one. */
  public synchronized Optional<byte[]> poll() {
    return lines.isEmpty() ? Optional.empty() : Optional.of(removeFirst());
  }

  private byte[] removeFirst() {
    byte[] line = lines.removeFirst();
    bytes -= line.length;
    return line;
  }

  /** Returns what was dropped since the last call. */
  public synchronized Dropped takeDropped() {
    Dropped dropped = new Dropped(droppedRoutine, droppedFailures);
    droppedRoutine = 0;
    droppedFailures = 0;
    return dropped;
  }
}
