package org.foxtailford.core.load;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.apache.datasketches.frequencies.ErrorType;
import org.apache.datasketches.frequencies.LongsSketch;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.util.Assert;

/**
 * Frequent-items sketch that finds the keys with the most requests in a fixed amount of memory.
 *
 * <p>Counts are lower bounds, so there are no false positives. Two windows alternate: one is being
 * filled while the last complete one is queried. Not thread-safe.
 */
public final class HotKeySketch {

  /**
   * Maximum map size of the sketch of one window, in counters. A key with more than 3.5/16,384 of
   * the requests of a window is always found.
   */
  public static final int MAX_MAP_SIZE = 16_384;

  /** Maximum error of a count, as a share of the requests of its window. */
  public static final double MAX_ERROR_SHARE = 3.5 / MAX_MAP_SIZE;

  private static final double MS_PER_S = 1000;

  private final long windowMs;
  private LongsSketch current = new LongsSketch(MAX_MAP_SIZE);
  private LongsSketch last = new LongsSketch(MAX_MAP_SIZE);
  private long windowStartMs;

  /**
   * Creates an empty sketch.
   *
   * @param windowMs length of a window, in milliseconds; positive
   * @param nowMs current time, in milliseconds; start of the first window
   */
  public HotKeySketch(long windowMs, long nowMs) {
    Assert.isTrue(windowMs > 0, "windowMs must be positive");
    this.windowMs = windowMs;
    this.windowStartMs = nowMs;
  }

  /** Counts a number of requests for a key at the given time, in milliseconds. */
  public void record(long keyHash, long requests, long nowMs) {
    rotate(nowMs);
    current.update(keyHash, requests);
  }

  /**
   * Returns the keys with the highest rates in the last complete window.
   *
   * @param limit maximum number of keys
   * @param nowMs current time, in milliseconds
   * @return keys by descending rate; empty if the window had no requests
   */
  public List<KeyLoad> hottest(int limit, long nowMs) {
    rotate(nowMs);
    return topRows(last, limit).stream()
        .map(row -> new KeyLoad(row.getItem(), row.getLowerBound() * MS_PER_S / windowMs))
        .toList();
  }

  /** Returns at most {@code limit} topRows of a sketch, by descending lower bound. */
  static List<LongsSketch.Row> topRows(LongsSketch sketch, int limit) {
    return Arrays.stream(sketch.getFrequentItems(ErrorType.NO_FALSE_NEGATIVES))
        .filter(row -> row.getLowerBound() > 0)
        .sorted(
            Comparator.comparingLong(LongsSketch.Row::getLowerBound)
                .reversed()
                .thenComparingLong(LongsSketch.Row::getItem))
        .limit(limit)
        .toList();
  }

  private void rotate(long nowMs) {
    if (nowMs - windowStartMs < windowMs) {
      return;
    }
    boolean skipped = nowMs - windowStartMs >= 2 * windowMs;
    LongsSketch recycled = last;
    last = skipped ? new LongsSketch(MAX_MAP_SIZE) : current;
    recycled.reset();
    current = recycled;
    windowStartMs += (nowMs - windowStartMs) / windowMs * windowMs;
  }
}
