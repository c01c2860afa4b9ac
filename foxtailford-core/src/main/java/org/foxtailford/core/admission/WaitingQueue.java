package org.foxtailford.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.foxtailford.core.util.Assert;

/**
 * Bounded priority queue of requests that wait for a slot. The highest priority leaves first, in
 * order of arrival among equals; the lowest is shed first, and none is returned by {@link #poll}
 * after its expiry. Thread-safe.
 *
 * @param <T> type of the waiting items
 */
public final class WaitingQueue<T> {

  private static final Comparator<Entry<?>> DEQUEUE_ORDER =
      Comparator.<Entry<?>>comparingInt(entry -> -entry.priority())
          .thenComparingLong(Entry::sequence);

  private final int capacity;
  private final TreeSet<Entry<T>> entries = new TreeSet<>(DEQUEUE_ORDER);
  private long sequence;

  public WaitingQueue(int capacity) {
    Assert.isTrue(capacity > 0, "capacity must be positive");
    this.capacity = capacity;
  }

  private record Entry<T>(T item, int priority, long sequence, long expiresAtMs) {}

  /**
   * Adds an item.
   *
   * @param item item to add
   * @param priority priority of the item; higher values leave first
   * @param expiresAtMs time at which the item expires, in milliseconds
   * @return the item shed in exchange, which may be the added one; empty if the queue wasn't full
   */
  public synchronized Optional<T> add(T item, int priority, long expiresAtMs) {
    entries.add(new Entry<>(item, priority, sequence++, expiresAtMs));
    if (entries.size() <= capacity) {
      return Optional.empty();
    }
    return Optional.ofNullable(entries.pollLast()).map(Entry::item);
  }

  /** Removes and returns the expired items. */
  public synchronized List<T> removeExpired(long nowMs) {
    List<T> expired = new ArrayList<>();
    entries.removeIf(entry -> nowMs >= entry.expiresAtMs() && expired.add(entry.item()));
    return expired;
  }

  /** Removes and returns the first item that has not expired; empty if there is none. */
  public synchronized Optional<T> poll(long nowMs) {
    Optional<Entry<T>> next =
        entries.stream().filter(entry -> nowMs < entry.expiresAtMs()).findFirst();
    next.ifPresent(entries::remove);
    return next.map(Entry::item);
  }

  /**
   * Removes an item, for example because its caller disconnected.
   *
   * @return whether the item was in the queue
   */
  public synchronized boolean remove(T item) {
    return entries.removeIf(entry -> entry.item().equals(item));
  }

  /** Returns the number of items, including expired ones that have not been removed. */
  public synchronized int size() {
    return entries.size();
  }
}
