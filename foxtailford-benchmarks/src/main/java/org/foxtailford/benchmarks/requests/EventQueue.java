package org.foxtailford.benchmarks.requests;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.daemon.request.TaskScheduler;

/** Events in the order of their time, and the clock that they move. Not thread-safe. */
final class EventQueue implements MillisClock, TaskScheduler {

  static final long MICROS_PER_MS = 1000;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong((Event event) -> event.atMicros)
              .thenComparingLong(event -> event.sequence));
  private long nowMicros;
  private long sequence;

  private static final class Event {
    private final long atMicros;
    private final long sequence;
    private final Runnable action;
    private boolean cancelled;

    Event(long atMicros, long sequence, Runnable action) {
      this.atMicros = atMicros;
      this.sequence = sequence;
      this.action = action;
    }
  }

  long nowMicros() {
    return nowMicros;
  }

  @Override
  public long nowMs() {
    return nowMicros / MICROS_PER_MS;
  }

  @Override
  public Runnable schedule(Runnable task, long delayMs) {
    return after(delayMs * MICROS_PER_MS, task);
  }

  /**
   * Adds an event.
   *
   * @return cancels it
   */
  Runnable after(long delayMicros, Runnable action) {
    Event event = new Event(nowMicros + delayMicros, sequence++, action);
    events.add(event);
    return () -> event.cancelled = true;
  }

  /** Runs the events up to a time. */
  void runUntil(long untilMicros) {
    while (!events.isEmpty() && events.element().atMicros <= untilMicros) {
      Event event = events.remove();
      nowMicros = event.atMicros;
      if (!event.cancelled) {
        event.action.run();
      }
    }
    nowMicros = untilMicros;
  }
}
