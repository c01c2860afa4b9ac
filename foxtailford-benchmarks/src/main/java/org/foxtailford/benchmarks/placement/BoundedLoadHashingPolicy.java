package org.foxtailford.benchmarks.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.slice.KeyHashing;

/**
 * Baseline: consistent hashing with bounded loads. A slice belongs to the first upstream after it
 * on a ring that has room below the bound.
 *
 * <p>The ring is walked again when a slice has no owner, an upstream has no slice, or the measured
 * imbalance is above the bound.
 */
final class BoundedLoadHashingPolicy implements PlacementPolicy {

  private static final int POINTS_PER_UPSTREAM = 64;
  private static final double LOAD_BOUND = 1.2;

  /** Share of the bound from which an upstream takes no more slices. */
  private static final double FULL = 0.97;

  @Override
  public List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams) {
    double total = slices.stream().mapToDouble(PlacedSlice::load).sum();
    if (upstreams.isEmpty() || !needsWalk(slices, upstreams, total)) {
      return List.of();
    }
    double bound = LOAD_BOUND * total / upstreams.size();
    TreeMap<Long, String> ring = ring(upstreams);
    Map<String, Double> loads = new HashMap<>();
    List<SliceMove> moves = new ArrayList<>();
    for (PlacedSlice slice : slices) {
      String target = firstWithRoom(ring, slice, loads, bound);
      loads.merge(target, slice.load(), Double::sum);
      if (slice.owner().filter(target::equals).isEmpty()) {
        moves.add(new SliceMove(slice.range(), target));
      }
    }
    return moves;
  }

  private static boolean needsWalk(List<PlacedSlice> slices, List<String> upstreams, double total) {
    Map<String, Double> loads = new HashMap<>();
    for (PlacedSlice slice : slices) {
      slice.owner().ifPresent(owner -> loads.merge(owner, slice.load(), Double::sum));
    }
    Set<String> known = Set.copyOf(upstreams);
    boolean lost = slices.stream().anyMatch(s -> s.owner().filter(known::contains).isEmpty());
    double most = loads.values().stream().mapToDouble(d -> d).max().orElse(0);
    return lost || loads.size() < upstreams.size() || most > LOAD_BOUND * total / upstreams.size();
  }

  private static TreeMap<Long, String> ring(List<String> upstreams) {
    TreeMap<Long, String> ring = new TreeMap<>();
    for (String upstream : upstreams) {
      for (int i = 0; i < POINTS_PER_UPSTREAM; i++) {
        ring.put(KeyHashing.hash(upstream + "#" + i), upstream);
      }
    }
    return ring;
  }

  private static String firstWithRoom(
      TreeMap<Long, String> ring, PlacedSlice slice, Map<String, Double> loads, double bound) {
    long point = KeyHashing.hash(slice.range().toString());
    return firstWithRoom(ring.tailMap(point).values(), slice, loads, bound)
        .or(() -> firstWithRoom(ring.headMap(point).values(), slice, loads, bound))
        .orElseGet(() -> ring.isEmpty() ? leastLoaded(loads) : ring.firstEntry().getValue());
  }

  /** Finds the first upstream with room, and drops the points of full ones on the way. */
  private static Optional<String> firstWithRoom(
      Collection<String> points, PlacedSlice slice, Map<String, Double> loads, double bound) {
    Iterator<String> iterator = points.iterator();
    while (iterator.hasNext()) {
      String upstream = iterator.next();
      double load = loads.getOrDefault(upstream, 0.0);
      if (load + slice.load() <= bound) {
        return Optional.of(upstream);
      }
      if (load >= FULL * bound) {
        iterator.remove();
      }
    }
    return Optional.empty();
  }

  private static String leastLoaded(Map<String, Double> loads) {
    return loads.entrySet().stream()
        .min(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .orElseThrow();
  }
}
