package org.foxtailford.core.range;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Immutable map from the keys of a service to their owners, at one version of the store. */
public final class RangeMap {

  /** Map without assignments, at version 0. */
  public static final RangeMap EMPTY = new RangeMap(0, List.of());

  private final long version;
  private final TreeMap<Integer, RangeAssignment> byFirst = new TreeMap<>();

  /**
   * Creates a map.
   *
   * @param version version of the store at which the map was written
   * @param assignments assignments whose ranges don't overlap, in any order
   */
  public RangeMap(long version, Collection<RangeAssignment> assignments) {
    this.version = version;
    assignments.forEach(a -> byFirst.put(a.range().first(), a));
  }

  /** Returns the version of the store at which the map was written. */
  public long version() {
    return version;
  }

  /** Returns the assignment of a key, or empty if the key has no owner. */
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
