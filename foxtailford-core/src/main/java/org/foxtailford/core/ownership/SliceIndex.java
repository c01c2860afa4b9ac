package org.foxtailford.core.ownership;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.foxtailford.core.slice.SliceRange;

/**
 * Immutable index of entries with disjoint hash ranges.
 *
 * @param <T> type of the entries
 */
public final class SliceIndex<T> {

  private final TreeMap<Long, T> byFirst = new TreeMap<>(Long::compareUnsigned);
  private final Function<T, SliceRange> rangeOf;

  /**
   * Creates an index.
   *
   * @param entries entries whose ranges are disjoint
   * @param rangeOf returns the range of an entry
   * @throws IllegalArgumentException if two ranges overlap
   */
  public SliceIndex(Collection<? extends T> entries, Function<T, SliceRange> rangeOf) {
    this.rangeOf = rangeOf;
    for (T entry : entries) {
      byFirst.put(rangeOf.apply(entry).first(), entry);
    }
    requireDisjoint(entries.size());
  }

  private void requireDisjoint(int expected) {
    SliceRange previous = null;
    for (T entry : byFirst.values()) {
      SliceRange range = rangeOf.apply(entry);
      if (previous != null && previous.overlaps(range)) {
        throw new IllegalArgumentException("ranges overlap: " + previous + " and " + range);
      }
      previous = range;
    }
    if (byFirst.size() != expected) {
      throw new IllegalArgumentException("two ranges start at the same hash");
    }
  }

  /** Returns the entry whose range contains a hash, or empty if there is none. */
  public Optional<T> find(long hash) {
    Map.Entry<Long, T> floor = byFirst.floorEntry(hash);
    if (floor == null || !rangeOf.apply(floor.getValue()).contains(hash)) {
      return Optional.empty();
    }
    return Optional.of(floor.getValue());
  }

  /** Returns the entries in the order of their ranges. */
  public Collection<T> entries() {
    return byFirst.values();
  }
}
