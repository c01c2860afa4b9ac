package org.foxtailford.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/**
 * Partition of a part of the hash space into slices. Immutable.
 *
 * <p>Each covered hash lies in exactly one slice. Splits and merges do not change which hashes are
 * covered.
 */
public final class SliceLayout {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final List<SliceRange> ranges;
  private final long fingerprint;

  /**
   * Creates a layout.
   *
   * @param ranges disjoint ranges, in any order; gaps are allowed
   * @throws IllegalArgumentException if ranges overlap
   */
  public SliceLayout(Collection<SliceRange> ranges) {
    this.ranges = ranges.stream().sorted().toList();
    for (int i = 1; i < this.ranges.size(); i++) {
      boolean disjoint = !this.ranges.get(i - 1).overlaps(this.ranges.get(i));
      Assert.isTrue(disjoint, "ranges overlap at " + this.ranges.get(i));
    }
    this.fingerprint = fingerprint(this.ranges);
  }

  /**
   * Rebuilds the layout of the home ranges of a data centre from the slices that upstreams hold.
   *
   * @param home ranges that the layout covers
   * @param held slices that upstreams hold; disjoint and within the home ranges
   * @return layout of the held slices, with one slice for each gap
   */
  public static SliceLayout rebuild(Collection<SliceRange> home, Collection<SliceRange> held) {
    List<SliceRange> sorted = held.stream().sorted().toList();
    List<SliceRange> all = new ArrayList<>(sorted);
    for (SliceRange area : home) {
      long next = area.first();
      boolean hasGapAtEnd = true;
      for (SliceRange slice : sorted) {
        if (!area.overlaps(slice)) {
          continue;
        }
        if (slice.first() != next) {
          all.add(new SliceRange(next, slice.first() - 1));
        }
        hasGapAtEnd = slice.last() != area.last();
        next = slice.last() + 1;
      }
      if (hasGapAtEnd) {
        all.add(new SliceRange(next, area.last()));
      }
    }
    return new SliceLayout(all);
  }

  /** Returns the slices in ascending order. */
  public List<SliceRange> ranges() {
    return ranges;
  }

  public int size() {
    return ranges.size();
  }

  /**
   * Returns a 64-bit FNV-style hash of the slice bounds. Entry VMs and the leader compare it to
   * detect that they use different layouts.
   */
  public long fingerprint() {
    return fingerprint;
  }

  /** Returns the index of the slice that contains a hash, or -1 if no slice does. */
  public int indexOf(long keyHash) {
    int low = 0;
    int high = ranges.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      SliceRange range = ranges.get(middle);
      if (range.contains(keyHash)) {
        return middle;
      }
      if (Long.compareUnsigned(keyHash, range.first()) < 0) {
        high = middle - 1;
      } else {
        low = middle + 1;
      }
    }
    return -1;
  }

  /**
   * Returns a layout with the merges applied first and then the splits, one after the other.
   *
   * @throws IllegalArgumentException if a change refers to a slice that is not in the layout
   */
  public SliceLayout apply(List<SliceMerge> merges, List<SliceSplit> splits) {
    List<SliceRange> merged = replace(ranges, merges, SliceMerge::parts, m -> List.of(m.whole()));
    List<SliceRange> split = merged;
    for (SliceSplit step : splits) {
      split = replace(split, List.of(step), s -> List.of(s.range()), SliceSplit::parts);
    }
    return new SliceLayout(split);
  }

  private static <T> List<SliceRange> replace(
      List<SliceRange> ranges,
      List<T> changes,
      Function<T, List<SliceRange>> before,
      Function<T, List<SliceRange>> after) {
    Set<SliceRange> removed =
        changes.stream().flatMap(c -> before.apply(c).stream()).collect(Collectors.toSet());
    List<SliceRange> replaced = new ArrayList<>(ranges);
    replaced.removeIf(removed::contains);
    boolean allKnown = ranges.size() - replaced.size() == removed.size();
    Assert.isTrue(allKnown, "a change refers to a slice that is not in the layout");
    changes.forEach(c -> replaced.addAll(after.apply(c)));
    return replaced;
  }

  /**
   * Projects the load of the slices of this layout onto another layout.
   *
   * <p>The load of a hot key goes to the slice that contains the key; the remaining load of a slice
   * is distributed in proportion to the width of the overlap.
   *
   * @param load load of each slice of this layout
   * @param to layout to project onto
   * @param hotKeys hot keys with their loads, in the unit of {@code load}
   * @return load of each slice of {@code to}
   */
  public double[] project(double[] load, SliceLayout to, List<KeyLoad> hotKeys) {
    double[] remaining = load.clone();
    double[] result = new double[to.size()];
    for (KeyLoad key : hotKeys) {
      int from = indexOf(key.keyHash());
      int target = to.indexOf(key.keyHash());
      if (from >= 0 && target >= 0) {
        double keyLoad = Math.min(remaining[from], key.rate());
        remaining[from] -= keyLoad;
        result[target] += keyLoad;
      }
    }
    int i = 0;
    int j = 0;
    while (i < size() && j < to.size()) {
      SliceRange a = ranges.get(i);
      SliceRange b = to.ranges.get(j);
      if (a.overlaps(b)) {
        result[j] += remaining[i] * a.intersection(b).share() / a.share();
      }
      if (Long.compareUnsigned(a.last(), b.last()) <= 0) {
        i++;
      } else {
        j++;
      }
    }
    return result;
  }

  private static long fingerprint(List<SliceRange> ranges) {
    long hash = FNV_OFFSET;
    for (SliceRange range : ranges) {
      hash = (hash ^ range.first()) * FNV_PRIME;
      hash = (hash ^ range.last()) * FNV_PRIME;
    }
    return hash;
  }
}
