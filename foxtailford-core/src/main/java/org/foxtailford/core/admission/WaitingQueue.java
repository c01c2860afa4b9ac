package org.foxtailford.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.foxtailford.core.util.Assert;

/**
 * Bounded queue of requests that wait for a slot: the highest worth leaves first, the lowest is
 * shed first, and none waits beyond its limit. Thread-safe.
 *
 * @param <T> what waits
 */
public final class WaitingQueue<T> {

  private static final Comparator<Entry<?>> FIRST_OUT =
      Comparator.<Entry<?>>comparingInt(entry -> -entry.worth()).thenComparingLong(Entry::sequence);

  private final int capacity;
  private final TreeSet<Entry<T>> entries = new TreeSet<>(FIRST_OUT);
  private long sequence;

  public WaitingQueue(int capacity) {
    Assert.isTrue(capacity > 0, "capacity must be positive");
    this.capacity = capacity;
  }

  private record Entry<T>(T item, int worth, long sequence, long untilMs) {}

  /**
   * Adds an item.
   *
   * @param item what waits
   * @param worth its worth
   * @param untilMs when it stops waiting
   * @return the item that had to give way, which may be the added one; empty if there was room
   */
  public synchronized Optional<T> add(T item, int worth, long untilMs) {
    entries.add(new Entry<>(item, worth, sequence++, untilMs));
    if (entries.size() <= capacity) {
      return Optional.empty();
    }
    return Optional.ofNullable(entries.pollLast()).map(Entry::item);
  }

  /** Removes the items whose time is over and returns them. */
  public synchronized List<T> removeExpired(long nowMs) {
    List<T> expired = new ArrayList<>();
    entries.removeIf(entry -> nowMs >= entry.untilMs() && expired.add(entry.item()));
    return expired;
  }

  /** Removes the item whose turn it is; one whose time is over is never returned. */
  public synchronized Optional<T> poll(long nowMs) {
    Optional<Entry<T>> next = entries.stream().filter(entry -> nowMs < entry.untilMs()).findFirst();
    next.ifPresent(entries::remove);
    return next.map(Entry::item);
  }

  /** Removes an item that no longer waits, for example because its caller went away. */
  public synchronized boolean remove(T item) {
    return entries.removeIf(entry -> entry.item().equals(item));
  }

  /** Returns the number of items that wait. */
  public synchronized int size() {
    return entries.size();
  }
}
