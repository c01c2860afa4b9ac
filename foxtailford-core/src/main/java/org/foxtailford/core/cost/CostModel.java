package org.foxtailford.core.cost;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailford.core.util.Assert;

/**
 * Learns the cost of requests by their class. Addresses requests that differ in cost by a multiple:
 * the average of their service says little about each of them.
 *
 * <p>A class with few samples gets the distribution of a wider one. Half of the weight decays every
 * 30 s. Reports of other VMs are collected for a second and then merged together, so that the
 * result does not depend on the order in which they came. Not thread-safe.
 */
public final class CostModel {

  /** Samples below which a distribution says too little about the 3% of long requests. */
  public static final int MIN_SAMPLES = 50;

  /** Classes kept at most, by their last use; with 2.3 KB each they stay below 256 KB. */
  public static final int MAX_CLASSES = 100;

  /** Reports kept at most until they are merged; of 0.25 KB each. Further ones are ignored. */
  private static final int MAX_REPORTED = 60;

  /** Fraction of a class's weight that may come from one other VM. */
  public static final double MAX_VM_SHARE = 0.25;

  private static final double HALF_LIFE_MS = 30_000;
  private static final long DECAY_INTERVAL_MS = 5000;
  private static final long MERGE_INTERVAL_MS = 1000;

  /**
   * Time for which a computed distribution is used, in milliseconds; short beside the half-life.
   */
  private static final long REFRESH_MS = 5000;

  /** Groups of VMs by their hash; a VM shares its part with the others of its group. */
  private static final int VM_GROUPS = 32;

  private static final class Entry {
    private final CostHistogram histogram = new CostHistogram();
    private final float[] groupWeights = new float[VM_GROUPS];
    private Optional<CostDistribution> distribution = Optional.empty();
    private long distributionVersion = -1;
    private long computedMs;
  }

  private final Map<RequestClass, Entry> entries =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestClass, Entry> eldest) {
          return size() > MAX_CLASSES;
        }
      };

  private final Map<RequestClass, Map<Integer, int[]>> reported = new HashMap<>();
  private int reportedCounts;
  private long decayedAtMs = Long.MIN_VALUE;
  private long mergedAtMs = Long.MIN_VALUE;

  /**
   * Adds the cost of a request that this VM has measured, in milliseconds at speed 1 without
   * slowness.
   */
  public void add(RequestClass requestClass, double costMs, long nowMs) {
    advance(nowMs);
    for (int level = 0; level < RequestClass.LEVELS; level++) {
      entry(requestClass.atLevel(level)).histogram.add(costMs, 1);
    }
  }

  /**
   * Adds costs that another VM has measured since its last report.
   *
   * @param counts number of requests by bucket of {@link CostDistribution}; others are ignored
   */
  public void addReported(String vm, RequestClass requestClass, int[] counts, long nowMs) {
    Assert.notNull(vm, "vm");
    advance(nowMs);
    int group = Math.floorMod(vm.hashCode(), VM_GROUPS);
    Map<Integer, int[]> groups = reported.get(requestClass);
    if (groups == null || !groups.containsKey(group)) {
      if (reportedCounts == MAX_REPORTED) {
        return;
      }
      reportedCounts++;
      groups = reported.computeIfAbsent(requestClass, name -> new TreeMap<>());
    }
    int[] sum = groups.computeIfAbsent(group, number -> new int[CostDistribution.BUCKETS]);
    for (int i = 0; i < Math.min(sum.length, counts.length); i++) {
      sum[i] += Math.max(0, counts[i]);
    }
  }

  private Entry entry(RequestClass requestClass) {
    return entries.computeIfAbsent(requestClass, name -> new Entry());
  }

  private void advance(long nowMs) {
    if (decayedAtMs == Long.MIN_VALUE) {
      decayedAtMs = nowMs;
      mergedAtMs = nowMs;
    }
    if (nowMs - decayedAtMs >= DECAY_INTERVAL_MS) {
      double factor = Math.pow(0.5, (nowMs - decayedAtMs) / HALF_LIFE_MS);
      decayedAtMs = nowMs;
      for (Entry entry : entries.values()) {
        entry.histogram.decay(factor);
        for (int i = 0; i < VM_GROUPS; i++) {
          entry.groupWeights[i] *= (float) factor;
        }
      }
    }
    if (nowMs - mergedAtMs >= MERGE_INTERVAL_MS) {
      mergedAtMs = nowMs;
      reported.forEach((name, groups) -> merge(entry(name), groups));
      reported.clear();
      reportedCounts = 0;
    }
  }

  private static void merge(Entry entry, Map<Integer, int[]> groups) {
    double before = entry.histogram.samples();
    Map<Integer, Double> offered = new TreeMap<>();
    groups.forEach((group, counts) -> offered.put(group, sum(counts)));
    double limit = limit(entry, before, offered);
    groups.forEach(
        (group, counts) -> {
          double allowed = Math.max(0, limit - entry.groupWeights[group]);
          double weight = Math.min(offered.get(group), allowed);
          if (weight > 0) {
            entry.groupWeights[group] += (float) weight;
            for (int i = 0; i < counts.length; i++) {
              double part = weight * counts[i] / offered.get(group);
              entry.histogram.add(CostDistribution.midMs(i), part);
            }
          }
        });
  }

  /** Returns the highest weight of a group that is a quarter of the weight after the merge. */
  private static double limit(Entry entry, double before, Map<Integer, Double> offered) {
    double limit = Double.MAX_VALUE;
    for (int round = 0; round < 40; round++) {
      double total = before;
      for (Map.Entry<Integer, Double> group : offered.entrySet()) {
        double allowed = Math.max(0, limit - entry.groupWeights[group.getKey()]);
        total += Math.min(group.getValue(), allowed);
      }
      limit = MAX_VM_SHARE * total;
    }
    return limit;
  }

  private static double sum(int[] counts) {
    double sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  /**
   * Returns the distribution of the cost of a class, or of the narrowest wider one with enough
   * samples; empty if the whole service has too few.
   */
  public Optional<CostDistribution> find(RequestClass requestClass, long nowMs) {
    advance(nowMs);
    for (int level = 0; level < RequestClass.LEVELS; level++) {
      Entry entry = entries.get(requestClass.atLevel(level));
      if (entry != null && entry.histogram.samples() >= MIN_SAMPLES) {
        return distribution(entry, nowMs);
      }
    }
    return Optional.empty();
  }

  private static Optional<CostDistribution> distribution(Entry entry, long nowMs) {
    boolean outdated = nowMs - entry.computedMs >= REFRESH_MS;
    if (entry.distribution.isEmpty()
        || outdated && entry.distributionVersion != entry.histogram.version()) {
      entry.distribution = Optional.of(entry.histogram.distribution());
      entry.distributionVersion = entry.histogram.version();
      entry.computedMs = nowMs;
    }
    return entry.distribution;
  }

  /** Returns the number of classes that are kept. */
  public int classes() {
    return entries.size();
  }

  /** Returns the estimated memory of all histograms and distributions, in bytes. */
  public long bytes() {
    long perEntry = 2L * 4 * CostDistribution.BUCKETS + 4L * VM_GROUPS + 250;
    long perReport = 4L * CostDistribution.BUCKETS + 50;
    return entries.values().stream().mapToLong(e -> e.histogram.bytes() + perEntry).sum()
        + reportedCounts * perReport;
  }
}
