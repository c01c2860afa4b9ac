package org.foxtailford.core.load;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.apache.datasketches.frequencies.ErrorType;
import org.apache.datasketches.frequencies.LongsSketch;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.util.Assert;

/**
 * Finds the busiest keys of a stream in a fixed amount of memory.
 *
 * <p>Counts are lower bounds, so a key that is reported as busy is busy. Two windows alternate: the
 * one being filled and the last full one. Not thread-safe.
 */
public final class HotKeySketch {

  /** Counters of one window; keys with more than 3.5/16,384 of its requests are always found. */
  public static final int MAX_MAP_SIZE = 16_384;

  /** Largest error of a count, as a share of the requests of its window. */
  public static final double MAX_ERROR_SHARE = 3.5 / MAX_MAP_SIZE;

  private static final double MS_PER_S = 1000;

  private final long windowMs;
  private LongsSketch current = new LongsSketch(MAX_MAP_SIZE);
  private LongsSketch last = new LongsSketch(MAX_MAP_SIZE);
  private long windowStartMs;

  /**
   * Creates an empty sketch.
   *
   * @param windowMs length of a window, in milliseconds
   * @param nowMs reading of the clock
   */
  public HotKeySketch(long windowMs, long nowMs) {
    Assert.isTrue(windowMs > 0, "windowMs must be positive");
    this.windowMs = windowMs;
    this.windowStartMs = nowMs;
  }

  /** Counts requests for a key. */
  public void record(long keyHash, long requests, long nowMs) {
    rotate(nowMs);
    current.update(keyHash, requests);
  }

  /**
   * Returns the busiest keys of the last full window.
   *
   * @param limit most keys to return
   * @return busiest first
   */
  public List<KeyLoad> hottest(int limit, long nowMs) {
    rotate(nowMs);
    return rows(last, limit).stream()
        .map(row -> new KeyLoad(row.getItem(), row.getLowerBound() * MS_PER_S / windowMs))
        .toList();
  }

  /** Returns the keys of a sketch with the highest lower bounds, busiest first. */
  static List<LongsSketch.Row> rows(LongsSketch sketch, int limit) {
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
    LongsSketch freed = last;
    last = skipped ? new LongsSketch(MAX_MAP_SIZE) : current;
    freed.reset();
    current = freed;
    windowStartMs += (nowMs - windowStartMs) / windowMs * windowMs;
  }
}
