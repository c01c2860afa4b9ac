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
 * The slices of one term, indexed by service, by range and by owner.
 *
 * <p>Slices of one service never overlap. Looking at one upstream's slices costs their number,
 * however many there are in all. Not thread-safe.
 */
final class SliceTable {

  private final Map<String, NavigableMap<SliceRange, SliceState>> services = new TreeMap<>();
  private final Map<String, Map<SliceKey, SliceState>> byOwner = new HashMap<>();
  private long modificationCount;

  /**
   * Adds a slice without an owner.
   *
   * @param nowMs reading of the clock from which it may be granted
   * @throws IllegalArgumentException if it overlaps another one
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
   * Replaces slices by others of the same hashes.
   *
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

  /** Returns how often a slice was added, removed or freed. */
  long modificationCount() {
    return modificationCount;
  }

  /** Removes a slice that has no owner. */
  void remove(SliceState state) {
    Assert.isTrue(state.assignment().isEmpty(), "a slice with an owner can't be removed");
    modificationCount++;
    slicesByRange(state.key().service()).remove(state.key().range());
  }

  /** Gives a slice to an upstream, whoever owned it before. */
  void assign(SliceState state, SliceAssignment assignment) {
    removeFromOwner(state);
    state.assign(assignment);
    byOwner
        .computeIfAbsent(assignment.upstream(), name -> new LinkedHashMap<>())
        .put(state.key(), state);
  }

  /** Takes a slice from its owner, who is known to hold it no more. */
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

  /** Returns the slices that an upstream owns, at this moment. */
  List<SliceState> ownedBy(String upstream) {
    Map<SliceKey, SliceState> owned = byOwner.get(upstream);
    return owned == null ? List.of() : List.copyOf(owned.values());
  }

  /** Returns the slices of a service, in the order of their ranges, at this moment. */
  List<SliceState> slices(String service) {
    return List.copyOf(slicesByRange(service).values());
  }

  /** Returns the services that have slices, in order. */
  Set<String> services() {
    return services.keySet();
  }

  /** Returns the slices of a service that have a hash in common with a range, in order. */
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
