package org.foxtailford.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.slice.SliceRange;
import org.jspecify.annotations.Nullable;

/**
 * Mutable state of a plan in progress: owners, loads and the changes so far. Not thread-safe.
 *
 * <p>A slice that was moved does not change again in the same round.
 */
final class PlacementDraft {

  /** Requests per second per upstream below which measured loads are too sparse to be used. */
  private static final double MIN_MEASURED_RATE = 1;

  /** Bounds for searches by load: sorted before and after all other slices of the same load. */
  static final SliceRange LOWEST_RANGE = new SliceRange(0, 0);

  static final SliceRange HIGHEST_RANGE = new SliceRange(-1L, -1L);

  private static final Comparator<DraftSlice> BY_LOAD =
      Comparator.comparingDouble(DraftSlice::load).thenComparing(DraftSlice::range);
  private static final Comparator<DraftUpstream> BY_RELATIVE_LOAD =
      Comparator.comparingDouble(DraftUpstream::relativeLoad)
          .thenComparingDouble(DraftUpstream::relativeShare)
          .thenComparing(upstream -> upstream.capacity.name());

  private final Map<String, DraftUpstream> draftUpstreams = new HashMap<>();
  private final TreeSet<DraftUpstream> accepting = new TreeSet<>(BY_RELATIVE_LOAD);
  private final TreeMap<Long, KeyLoad> hotKeys = new TreeMap<>(Long::compareUnsigned);
  private final List<DraftSlice> unowned = new ArrayList<>();
  private final List<SliceMove> moves = new ArrayList<>();
  private final List<SliceSplit> splits = new ArrayList<>();
  private final boolean loadKnown;
  private final double meanLoad;
  private int sliceCount;

  /** Slice with its load; the load is its share of the hash space while no load is known. */
  record DraftSlice(SliceRange range, double load) {
    boolean isDivisible() {
      return range.first() != range.last();
    }
  }

  /** Upstream with its slices and their total load. */
  static final class DraftUpstream {
    private final UpstreamCapacity capacity;
    private final TreeSet<DraftSlice> draftSlices = new TreeSet<>(BY_LOAD);
    private double load;
    private double share;
    private int sliceCount;

    DraftUpstream(UpstreamCapacity capacity) {
      this.capacity = capacity;
    }

    UpstreamCapacity capacity() {
      return capacity;
    }

    TreeSet<DraftSlice> draftSlices() {
      return draftSlices;
    }

    double load() {
      return load;
    }

    double relativeLoad() {
      return load / capacity.weight();
    }

    private double relativeShare() {
      return share / capacity.weight();
    }

    private void add(DraftSlice draftSlice) {
      draftSlices.add(draftSlice);
      addToTotals(draftSlice);
    }

    double relativeSliceCount() {
      return sliceCount / capacity.weight();
    }

    /** Counts a slice that must not change again in this round, without making it a candidate. */
    private void addToTotals(DraftSlice draftSlice) {
      sliceCount++;
      load += draftSlice.load();
      share += draftSlice.range().share();
    }

    private void remove(DraftSlice draftSlice) {
      draftSlices.remove(draftSlice);
      sliceCount--;
      load -= draftSlice.load();
      share -= draftSlice.range().share();
    }
  }

  PlacementDraft(PlacementRound round) {
    round.upstreams().forEach(u -> draftUpstreams.put(u.name(), new DraftUpstream(u)));
    round.hotKeys().forEach(key -> hotKeys.put(key.keyHash(), key));
    double rate = round.slices().stream().mapToDouble(PlacedSlice::load).sum();
    loadKnown = rate >= MIN_MEASURED_RATE * Math.max(1, round.upstreams().size());
    double total = 0;
    for (PlacedSlice slice : round.slices()) {
      DraftSlice draftSlice =
          new DraftSlice(slice.range(), loadKnown ? slice.load() : slice.range().share());
      total += draftSlice.load();
      Optional<DraftUpstream> upstream = slice.owner().map(draftUpstreams::get);
      upstream.ifPresentOrElse(d -> d.add(draftSlice), () -> unowned.add(draftSlice));
    }
    draftUpstreams.values().stream().filter(d -> d.capacity.accepting()).forEach(accepting::add);
    double weight = accepting.stream().mapToDouble(d -> d.capacity.weight()).sum();
    meanLoad = weight == 0 ? 0 : total / weight;
    sliceCount = round.slices().size();
  }

  /** Returns whether loads are measured; otherwise the widths of the slices serve as loads. */
  boolean isLoadKnown() {
    return loadKnown;
  }

  /** Returns the mean load of the accepting upstreams, per unit of weight. */
  double meanLoad() {
    return meanLoad;
  }

  /** Returns the mean slice count of the accepting upstreams, per unit of weight. */
  double meanSliceCount() {
    return sliceCount / accepting.stream().mapToDouble(d -> d.capacity.weight()).sum();
  }

  int sliceCount() {
    return sliceCount;
  }

  List<SliceMove> moves() {
    return moves;
  }

  List<SliceSplit> splits() {
    return splits;
  }

  Collection<DraftUpstream> acceptingUpstreams() {
    return accepting;
  }

  /** Returns the accepting upstreams by descending relative load. */
  Collection<DraftUpstream> busiestFirst() {
    return accepting.descendingSet();
  }

  /** Returns the unowned slices by descending load. */
  List<DraftSlice> unowned() {
    return unowned.stream().sorted(BY_LOAD.reversed()).toList();
  }

  /** Returns the upstreams that accept no slices, sorted by name. */
  List<DraftUpstream> draining() {
    return draftUpstreams.values().stream()
        .filter(d -> !d.capacity.accepting())
        .sorted(Comparator.comparing(d -> d.capacity.name()))
        .toList();
  }

  /**
   * Returns the least loaded accepting upstream that does not report overload, or the least loaded
   * one if all report it; empty if no upstream accepts slices.
   */
  Optional<DraftUpstream> leastLoadedPreferred() {
    return accepting.stream()
        .filter(d -> !d.capacity.reportsOverload())
        .findFirst()
        .or(() -> accepting.stream().findFirst());
  }

  /** Returns the least loaded accepting upstream, regardless of overload reports. */
  DraftUpstream leastLoadedOverall() {
    return accepting.first();
  }

  void move(DraftSlice draftSlice, @Nullable DraftUpstream from, DraftUpstream to) {
    if (from != null) {
      update(from, () -> from.remove(draftSlice));
    }
    update(to, () -> to.addToTotals(draftSlice));
    moves.add(new SliceMove(draftSlice.range(), to.capacity.name()));
  }

  /**
   * Splits a slice: isolates its hottest key if that key reaches the given rate, and otherwise
   * halves the slice.
   *
   * @param hotRate minimum rate of an isolated key, in requests per second
   */
  void split(DraftUpstream upstream, DraftSlice draftSlice, double hotRate) {
    SliceSplit split =
        hotKeysOf(draftSlice.range()).stream()
            .filter(key -> key.rate() >= hotRate)
            .max(Comparator.comparingDouble(KeyLoad::rate))
            .map(key -> SliceSplit.isolate(draftSlice.range(), key.keyHash()))
            .orElseGet(() -> SliceSplit.halve(draftSlice.range()));
    splits.add(split);
    sliceCount += split.parts().size() - 1;
    update(
        upstream,
        () -> {
          upstream.remove(draftSlice);
          split
              .parts()
              .forEach(part -> upstream.add(new DraftSlice(part, partLoad(draftSlice, part))));
        });
  }

  private void update(DraftUpstream upstream, Runnable change) {
    boolean wasAccepting = accepting.remove(upstream);
    change.run();
    if (wasAccepting) {
      accepting.add(upstream);
    }
  }

  private Collection<KeyLoad> hotKeysOf(SliceRange range) {
    return loadKnown ? hotKeys.subMap(range.first(), true, range.last(), true).values() : List.of();
  }

  private double partLoad(DraftSlice whole, SliceRange part) {
    double hotLoadOfWhole = hotKeysOf(whole.range()).stream().mapToDouble(KeyLoad::rate).sum();
    double hotLoadOfPart = hotKeysOf(part).stream().mapToDouble(KeyLoad::rate).sum();
    double scale = hotLoadOfWhole > whole.load() ? whole.load() / hotLoadOfWhole : 1;
    double rest = Math.max(0, whole.load() - hotLoadOfWhole);
    return hotLoadOfPart * scale + rest * part.share() / whole.range().share();
  }
}
