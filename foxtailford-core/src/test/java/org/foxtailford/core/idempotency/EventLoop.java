package org.foxtailford.core.idempotency;

import java.util.PriorityQueue;

/** Runs tasks at their times on a clock that only it moves. */
final class EventLoop {

  private record Task(long atMs, long order, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowMs;
  private long order;

  long nowMs() {
    return nowMs;
  }

  void after(long delayMs, Runnable action) {
    tasks.add(new Task(nowMs + delayMs, order++, action));
  }

  void runUntil(long endMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
      Task task = tasks.remove();
      nowMs = task.atMs();
      task.action().run();
    }
    nowMs = endMs;
  }
}
