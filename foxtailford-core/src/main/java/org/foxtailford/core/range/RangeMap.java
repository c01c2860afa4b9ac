package org.foxtailford.core.range;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Owners of all keys of a service at one version; immutable. */
public final class RangeMap {

  /** Map without owners. */
  public static final RangeMap EMPTY = new RangeMap(0, List.of());

  private final long version;
  private final TreeMap<Integer, RangeAssignment> byFirst = new TreeMap<>();

  /**
   * Creates a map.
   *
   * @param version version of the store at which it was written
   */
  public RangeMap(long version, Collection<RangeAssignment> assignments) {
    this.version = version;
    assignments.forEach(a -> byFirst.put(a.range().first(), a));
  }

  /** Returns the version of the store at which the map was written. */
  public long version() {
    return version;
  }

  /** Returns the assignment of a key. */
  public Optional<RangeAssignment> find(int key) {
    Map.Entry<Integer, RangeAssignment> entry = byFirst.floorEntry(key);
    return entry == null || entry.getValue().range().last() < key
        ? Optional.empty()
        : Optional.of(entry.getValue());
  }

  /** Returns all assignments in order of their keys. */
  public Collection<RangeAssignment> assignments() {
    return byFirst.values();
  }
}
