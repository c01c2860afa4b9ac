package org.foxtailford.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/**
 * Holds the slices of one leader term, indexed by service, by range and by owner.
 *
 * <p>Slices of one service never overlap. Looking up the slices of one upstream takes time
 * proportional to their number, regardless of the size of the table. Not thread-safe.
 */
final class SliceTable {

  private final Map<String, NavigableMap<SliceRange, SliceState>> services = new TreeMap<>();
  private final Map<String, Map<SliceKey, SliceState>> byOwner = new HashMap<>();
  private long modificationCount;

  /**
   * Adds a slice without an owner.
   *
   * @param nowMs time from which the slice may be granted, in milliseconds on the clock of this VM
   * @throws IllegalArgumentException if the range overlaps that of another slice of the service
   */
  SliceState add(SliceKey key, long nowMs) {
    boolean disjoint = overlapping(key.service(), key.range()).isEmpty();
    Assert.isTrue(disjoint, "slices must not overlap");
    modificationCount++;
    SliceState state = new SliceState(key);
    state.free(nowMs);
    services.computeIfAbsent(key.service(), name -> new TreeMap<>()).put(key.range(), state);
    return state;
  }

  /**
   * Replaces slices of one service by others that cover the same hashes.
   *
   * @param before the slices to replace; at least one
   * @param after ranges of the new slices
   * @param freedMs time from which the new slices may be granted, in milliseconds on the clock of
   *     this VM
   * @return the new slices, without an owner
   */
  List<SliceState> replace(List<SliceState> before, List<SliceRange> after, long freedMs) {
    String service = before.get(0).key().service();
    for (SliceState state : before) {
      free(state, freedMs);
      remove(state);
    }
    return after.stream().map(range -> add(new SliceKey(service, range), freedMs)).toList();
  }

  /** Returns how many times a slice has been added, removed or freed. */
  long modificationCount() {
    return modificationCount;
  }

  /**
   * Removes a slice.
   *
   * @throws IllegalArgumentException if the slice has an owner
   */
  void remove(SliceState state) {
    Assert.isTrue(state.assignment().isEmpty(), "a slice with an owner can't be removed");
    modificationCount++;
    slicesByRange(state.key().service()).remove(state.key().range());
  }

  /** Assigns a slice to an upstream, replacing any previous owner. */
  void assign(SliceState state, SliceAssignment assignment) {
    removeFromOwner(state);
    state.assign(assignment);
    byOwner
        .computeIfAbsent(assignment.upstream(), name -> new LinkedHashMap<>())
        .put(state.key(), state);
  }

  /** Clears the owner of a slice. The caller must know that the owner no longer holds it. */
  void free(SliceState state, long nowMs) {
    modificationCount++;
    removeFromOwner(state);
    state.free(nowMs);
  }

  private void removeFromOwner(SliceState state) {
    state
        .owner()
        .ifPresent(
            owner ->
                byOwner.computeIfPresent(
                    owner,
                    (name, owned) -> {
                      owned.remove(state.key());
                      return owned.isEmpty() ? null : owned;
                    }));
  }

  Optional<SliceState> find(SliceKey key) {
    return Optional.ofNullable(slicesByRange(key.service()).get(key.range()))
        .filter(state -> state.key().equals(key));
  }

  /** Returns a snapshot of the slices that an upstream owns; empty if it owns none. */
  List<SliceState> ownedBy(String upstream) {
    Map<SliceKey, SliceState> owned = byOwner.get(upstream);
    return owned == null ? List.of() : List.copyOf(owned.values());
  }

  /** Returns a snapshot of the slices of a service, in the order of their ranges. */
  List<SliceState> slices(String service) {
    return List.copyOf(slicesByRange(service).values());
  }

  /** Returns the services to which slices have been added, in alphabetical order. */
  Set<String> services() {
    return services.keySet();
  }

  /** Returns the slices of a service that share at least one hash with a range, in order. */
  List<SliceState> overlapping(String service, SliceRange range) {
    NavigableMap<SliceRange, SliceState> slices = slicesByRange(service);
    List<SliceState> matches = new ArrayList<>();
    SliceRange before = slices.lowerKey(range);
    if (before != null && before.overlaps(range)) {
      matches.add(slices.get(before));
    }
    SliceRange end = new SliceRange(range.last(), range.last());
    Collection<SliceState> within = slices.subMap(range, true, end, true).values();
    matches.addAll(within);
    return matches;
  }

  private NavigableMap<SliceRange, SliceState> slicesByRange(String service) {
    return services.getOrDefault(service, new TreeMap<>());
  }
}
