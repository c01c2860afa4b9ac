package org.foxtailford.core.range;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Immutable map from the keys of a service to their owners, as one write of the store holds it. */
public final class RangeMap {

  /** Map without assignments, at version 0. */
  public static final RangeMap EMPTY = new RangeMap(0, 0, List.of());

  private final long version;
  private final long era;
  private final TreeMap<Integer, RangeAssignment> byFirst = new TreeMap<>();

  /**
   * Creates a map.
   *
   * @param version number of the store's version at which the map was written
   * @param era era of the store in which the map was written, or 0 if its writer knew that keys may
   *     have other owners; in a later era, later maps may have been lost
   * @param assignments assignments whose ranges don't overlap, in any order
   */
  public RangeMap(long version, long era, Collection<RangeAssignment> assignments) {
    this.version = version;
    this.era = era;
    assignments.forEach(a -> byFirst.put(a.range().first(), a));
  }

  /** Returns the number of the store's version at which the map was written. */
  public long version() {
    return version;
  }

  /** Returns the era of the store in which the map was written; 0 if it was not complete. */
  public long era() {
    return era;
  }

  /**
   * Returns whether no later map can have been lost, so that only the recorded owners may hold
   * keys.
   *
   * @param currentEra era of the store from which the map was read
   * @param noEarlierLeader whether no earlier leader can have written a map
   */
  public boolean isComplete(long currentEra, boolean noEarlierLeader) {
    return currentEra == 0 || (byFirst.isEmpty() ? noEarlierLeader : era == currentEra);
  }

  /** Returns the highest fence in the map; 0 if it is empty. */
  public long highestFence() {
    return byFirst.values().stream().mapToLong(RangeAssignment::fence).max().orElse(0);
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
