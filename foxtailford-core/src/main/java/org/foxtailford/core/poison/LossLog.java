package org.foxtailford.core.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Losses of upstreams that this VM has seen or heard of, numbered in the order in which it did, so
 * that each VM can tell another one what that one lacks. A loss that comes back, from whomever, is
 * recognized. Bounded; losses expire. Not thread-safe.
 */
public final class LossLog {

  private final PoisonLimits limits;
  private final MillisClock clock;
  private final Map<Loss, Entry> entries = new LinkedHashMap<>();
  private final Map<Loss, Long> takenBackAtMs = new HashMap<>();
  private long lastNumber;

  /**
   * Loss of an upstream while it ran a request.
   *
   * @param upstream incarnation of the upstream
   * @param fingerprint the request
   */
  public record Loss(String upstream, long fingerprint) {

    /** Checks that the upstream is present. */
    public Loss {
      Assert.hasLength(upstream, "upstream");
    }
  }

  /**
   * Entry of the log.
   *
   * @param number position in the log, from 1
   * @param loss the loss
   * @param atMs when it happened, in milliseconds
   */
  public record Entry(long number, Loss loss, long atMs) {}

  /** Creates an empty log. */
  public LossLog(PoisonLimits limits, MillisClock clock) {
    this.limits = Assert.notNull(limits, "limits");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Adds a loss.
   *
   * @param atMs when it happened, in milliseconds
   * @return whether it was unknown, is not one that was taken back, and has not expired
   */
  public boolean add(Loss loss, long atMs) {
    removeExpired();
    boolean takenBack = atMs <= takenBackAtMs.getOrDefault(loss, Long.MIN_VALUE);
    if (entries.containsKey(loss) || takenBack || isExpired(atMs)) {
      return false;
    }
    entries.put(loss, new Entry(++lastNumber, loss, atMs));
    if (entries.size() > limits.maxSuspects()) {
      entries.remove(entries.keySet().iterator().next());
    }
    return true;
  }

  /** Takes back a loss: its upstream has not ended. A later one of the same kind counts again. */
  public void takeBack(Loss loss) {
    if (entries.remove(loss) != null) {
      takenBackAtMs.put(loss, clock.nowMs());
    }
  }

  /** Returns the entries with a number above the given one, in the order of their numbers. */
  public List<Entry> after(long number) {
    removeExpired();
    List<Entry> later = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.number() > number) {
        later.add(entry);
      }
    }
    return later;
  }

  /** Returns the number of the last entry that was added; 0 before the first one. */
  public long lastNumber() {
    return lastNumber;
  }

  private void removeExpired() {
    entries.values().removeIf(entry -> isExpired(entry.atMs()));
    takenBackAtMs.values().removeIf(this::isExpired);
  }

  private boolean isExpired(long atMs) {
    return clock.nowMs() - atMs > limits.ttlMs();
  }
}
