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
 * The slices that a part of the hash space is divided into. Immutable.
 *
 * <p>Splitting and merging never change which hashes are covered, and each covered hash lies in one
 * slice.
 */
public final class SliceLayout {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final List<SliceRange> ranges;
  private final long fingerprint;

  /**
   * Creates a layout.
   *
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
   * Rebuilds the layout of a home area from the slices that upstreams hold.
   *
   * @param home ranges whose slices are wanted
   * @param held slices that are held; they must lie within the home ranges and be disjoint
   * @return the held slices and the gaps between them
   */
  public static SliceLayout rebuild(Collection<SliceRange> home, Collection<SliceRange> held) {
    List<SliceRange> sorted = held.stream().sorted().toList();
    List<SliceRange> all = new ArrayList<>(sorted);
    for (SliceRange area : home) {
      long next = area.first();
      boolean open = true;
      for (SliceRange slice : sorted) {
        if (!area.overlaps(slice)) {
          continue;
        }
        if (slice.first() != next) {
          all.add(new SliceRange(next, slice.first() - 1));
        }
        open = slice.last() != area.last();
        next = slice.last() + 1;
      }
      if (open) {
        all.add(new SliceRange(next, area.last()));
      }
    }
    return new SliceLayout(all);
  }

  /** Returns the slices, in order. */
  public List<SliceRange> ranges() {
    return ranges;
  }

  public int size() {
    return ranges.size();
  }

  /** Returns a number that differs between different layouts. */
  public long fingerprint() {
    return fingerprint;
  }

  /** Returns the position of the slice that holds a hash; negative if none does. */
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
   * Returns the layout with changes applied: merges first, then splits.
   *
   * @throws IllegalArgumentException if a change names a slice that the layout does not have
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
    List<SliceRange> kept = new ArrayList<>(ranges);
    kept.removeIf(removed::contains);
    boolean known = ranges.size() - kept.size() == removed.size();
    Assert.isTrue(known, "a change names a slice that is not in the layout");
    changes.forEach(c -> kept.addAll(after.apply(c)));
    return kept;
  }

  /**
   * Carries load over to other slices of the same hashes.
   *
   * @param load load of each slice of this layout
   * @param to the other layout
   * @param hotKeys busy keys, whose part of the load goes where the key goes
   * @return load of each slice of the other layout
   */
  public double[] project(double[] load, SliceLayout to, List<KeyLoad> hotKeys) {
    double[] rest = load.clone();
    double[] result = new double[to.size()];
    for (KeyLoad key : hotKeys) {
      int from = indexOf(key.keyHash());
      int target = to.indexOf(key.keyHash());
      if (from >= 0 && target >= 0) {
        double moved = Math.min(rest[from], key.rate());
        rest[from] -= moved;
        result[target] += moved;
      }
    }
    int i = 0;
    int j = 0;
    while (i < size() && j < to.size()) {
      SliceRange a = ranges.get(i);
      SliceRange b = to.ranges.get(j);
      if (a.overlaps(b)) {
        result[j] += rest[i] * a.intersection(b).share() / a.share();
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
