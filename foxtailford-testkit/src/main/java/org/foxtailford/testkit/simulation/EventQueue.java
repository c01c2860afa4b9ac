package org.foxtailford.testkit.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.foxtailford.core.util.Assert;

/** Events in the order of their time; events of the same time keep their order of entry. */
public final class EventQueue {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private long nowMs;
  private long entered;

  private record Event(long atMs, long order, Runnable action) {}

  /** Returns the true time, which no simulated node sees. */
  public long nowMs() {
    return nowMs;
  }

  /** Enters an event. */
  public void schedule(long delayMs, Runnable action) {
    Assert.isTrue(delayMs >= 0, "delayMs must not be negative");
    events.add(new Event(nowMs + delayMs, entered++, action));
  }

  /** Runs every event up to a time. */
  public void runUntil(long untilMs) {
    Event next = events.peek();
    while (next != null && next.atMs() <= untilMs) {
      events.remove();
      nowMs = next.atMs();
      next.action().run();
      next = events.peek();
    }
    nowMs = untilMs;
  }
}
