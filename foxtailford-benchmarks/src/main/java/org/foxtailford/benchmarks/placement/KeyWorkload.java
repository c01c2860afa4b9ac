package org.foxtailford.benchmarks.placement;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.slice.SliceRange;

/**
 * Requests by key: a Zipf distribution whose most popular keys are explicit and whose tail is
 * spread evenly over the hash space. Not thread-safe.
 */
final class KeyWorkload {

  static final int CHANGING_KEYS = 210;
  private static final int EXPLICIT_KEYS = 20_000;

  private final SplittableRandom random;
  private final double totalRate;
  private final double tailRate;
  private final double[] rateByRank = new double[EXPLICIT_KEYS];
  private final long[] hashByRank = new long[EXPLICIT_KEYS];
  private final long[] sortedHashes = new long[EXPLICIT_KEYS];
  private final double[] rateBelow = new double[EXPLICIT_KEYS + 1];

  /**
   * Creates a workload.
   *
   * @param keys number of keys
   * @param exponent exponent of the Zipf distribution, below 1
   * @param totalRate requests a second
   */
  KeyWorkload(SplittableRandom random, double keys, double exponent, double totalRate) {
    this.random = random;
    this.totalRate = totalRate;
    double norm = Math.pow(keys, 1 - exponent) / (1 - exponent);
    double explicit = 0;
    for (int i = 0; i < EXPLICIT_KEYS; i++) {
      rateByRank[i] = totalRate * Math.pow(i + 1, -exponent) / norm;
      explicit += rateByRank[i];
      hashByRank[i] = random.nextLong();
    }
    tailRate = totalRate - explicit;
    index();
  }

  /** Replaces the most popular keys by others. */
  void changeHottestKeys() {
    for (int i = 0; i < CHANGING_KEYS; i++) {
      hashByRank[i] = random.nextLong();
    }
    index();
  }

  private void index() {
    Integer[] ranks = IntStream.range(0, EXPLICIT_KEYS).boxed().toArray(Integer[]::new);
    Comparator<Integer> byHash = (a, b) -> Long.compareUnsigned(hashByRank[a], hashByRank[b]);
    Arrays.sort(ranks, byHash);
    for (int i = 0; i < EXPLICIT_KEYS; i++) {
      sortedHashes[i] = hashByRank[ranks[i]];
      rateBelow[i + 1] = rateBelow[i] + rateByRank[ranks[i]];
    }
  }

  double totalRate() {
    return totalRate;
  }

  /** Returns the requests a second of a slice. */
  double rate(SliceRange range) {
    double explicit = rateBelow[countUpTo(range.last())];
    long first = range.first();
    explicit -= first == 0 ? 0 : rateBelow[countUpTo(first - 1)];
    return explicit + tailRate * range.share();
  }

  private int countUpTo(long hash) {
    int low = 0;
    int high = EXPLICIT_KEYS;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (Long.compareUnsigned(sortedHashes[middle], hash) <= 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** Returns the most popular keys whose rate is at least the given one. */
  List<KeyLoad> hottest(int limit, double leastRate) {
    return IntStream.range(0, limit)
        .filter(i -> rateByRank[i] >= leastRate)
        .mapToObj(i -> new KeyLoad(hashByRank[i], rateByRank[i]))
        .toList();
  }

  /** Returns the rate of the most popular key. */
  double hottestRate() {
    return rateByRank[0];
  }
}
