package org.foxtailford.core.idempotency;

import java.util.PriorityQueue;

/** Runs scheduled tasks in order of time on a virtual clock, which it advances. */
final class EventLoop {

  private record Task(long atMs, long sequence, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowMs;
  private long sequence;

  long nowMs() {
    return nowMs;
  }

  void after(long delayMs, Runnable action) {
    tasks.add(new Task(nowMs + delayMs, sequence++, action));
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
