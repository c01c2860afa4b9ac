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

/** Owners and loads while one round is planned. Not thread-safe. */
final class PlacementDraft {

  /** Requests a second and upstream below which loads say nothing. */
  private static final double EVIDENCE_RATE = 1;

  /** Ordered before and after every other range of the same load. */
  static final SliceRange LOWEST = new SliceRange(0, 0);

  static final SliceRange HIGHEST = new SliceRange(-1L, -1L);

  private static final Comparator<Piece> BY_LOAD =
      Comparator.comparingDouble(Piece::load).thenComparing(Piece::range);
  private static final Comparator<Holder> BY_RELATIVE_LOAD =
      Comparator.comparingDouble(Holder::relativeLoad)
          .thenComparingDouble(Holder::relativeShare)
          .thenComparing(holder -> holder.capacity.name());

  private final Map<String, Holder> holders = new HashMap<>();
  private final TreeSet<Holder> accepting = new TreeSet<>(BY_RELATIVE_LOAD);
  private final TreeMap<Long, KeyLoad> hotKeys = new TreeMap<>(Long::compareUnsigned);
  private final List<Piece> free = new ArrayList<>();
  private final List<SliceMove> moves = new ArrayList<>();
  private final List<SliceSplit> splits = new ArrayList<>();
  private final boolean loadKnown;
  private final double mean;
  private int sliceCount;

  /** A slice with its load. */
  record Piece(SliceRange range, double load) {
    boolean isDivisible() {
      return range.first() != range.last();
    }
  }

  /** An upstream with its slices. */
  static final class Holder {
    private final UpstreamCapacity capacity;
    private final TreeSet<Piece> pieces = new TreeSet<>(BY_LOAD);
    private double load;
    private double share;
    private int sliceCount;

    Holder(UpstreamCapacity capacity) {
      this.capacity = capacity;
    }

    UpstreamCapacity capacity() {
      return capacity;
    }

    TreeSet<Piece> pieces() {
      return pieces;
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

    private void add(Piece piece) {
      pieces.add(piece);
      addMoved(piece);
    }

    double relativeSliceCount() {
      return sliceCount / capacity.weight();
    }

    /** Adds a slice that must not change again in this round. */
    private void addMoved(Piece piece) {
      sliceCount++;
      load += piece.load();
      share += piece.range().share();
    }

    private void remove(Piece piece) {
      pieces.remove(piece);
      sliceCount--;
      load -= piece.load();
      share -= piece.range().share();
    }
  }

  PlacementDraft(PlacementRound round) {
    round.upstreams().forEach(u -> holders.put(u.name(), new Holder(u)));
    round.hotKeys().forEach(key -> hotKeys.put(key.keyHash(), key));
    double rate = round.slices().stream().mapToDouble(PlacedSlice::load).sum();
    loadKnown = rate >= EVIDENCE_RATE * Math.max(1, round.upstreams().size());
    double total = 0;
    for (PlacedSlice slice : round.slices()) {
      Piece piece = new Piece(slice.range(), loadKnown ? slice.load() : slice.range().share());
      total += piece.load();
      Optional<Holder> holder = slice.owner().map(holders::get);
      holder.ifPresentOrElse(h -> h.add(piece), () -> free.add(piece));
    }
    holders.values().stream().filter(h -> h.capacity.accepting()).forEach(accepting::add);
    double weight = accepting.stream().mapToDouble(h -> h.capacity.weight()).sum();
    mean = weight == 0 ? 0 : total / weight;
    sliceCount = round.slices().size();
  }

  /** Tells whether loads were measured; if not, widths stand for loads. */
  boolean loadKnown() {
    return loadKnown;
  }

  /** Returns the load of an upstream of weight one if all were equal. */
  double mean() {
    return mean;
  }

  /** Returns the number of slices of an upstream of weight one if all were equal. */
  double meanSliceCount() {
    return sliceCount / accepting.stream().mapToDouble(h -> h.capacity.weight()).sum();
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

  Collection<Holder> acceptingHolders() {
    return accepting;
  }

  /** Returns the accepting upstreams, from the highest relative load to the lowest. */
  Collection<Holder> busiestFirst() {
    return accepting.descendingSet();
  }

  /** Returns free slices, heaviest first. */
  List<Piece> free() {
    return free.stream().sorted(BY_LOAD.reversed()).toList();
  }

  /** Returns upstreams that are to be emptied, by name. */
  List<Holder> leaving() {
    return holders.values().stream()
        .filter(h -> !h.capacity.accepting())
        .sorted(Comparator.comparing(h -> h.capacity.name()))
        .toList();
  }

  /** Returns the least loaded upstream, one that does not report to be busy if there is one. */
  Optional<Holder> leastLoaded() {
    return accepting.stream()
        .filter(h -> !h.capacity.reportsOverload())
        .findFirst()
        .or(() -> accepting.stream().findFirst());
  }

  /** Returns the least loaded upstream, whatever it reports. */
  Holder leastLoadedOfAll() {
    return accepting.first();
  }

  void move(Piece piece, @Nullable Holder from, Holder to) {
    if (from != null) {
      update(from, () -> from.remove(piece));
    }
    update(to, () -> to.addMoved(piece));
    moves.add(new SliceMove(piece.range(), to.capacity.name()));
  }

  /** Divides a slice at a hot key if it holds one of at least the given load, else in halves. */
  void split(Holder holder, Piece piece, double hotRate) {
    SliceSplit split =
        hotKeysOf(piece.range()).stream()
            .filter(key -> key.rate() >= hotRate)
            .max(Comparator.comparingDouble(KeyLoad::rate))
            .map(key -> SliceSplit.isolate(piece.range(), key.keyHash()))
            .orElseGet(() -> SliceSplit.halve(piece.range()));
    splits.add(split);
    sliceCount += split.parts().size() - 1;
    update(
        holder,
        () -> {
          holder.remove(piece);
          split.parts().forEach(part -> holder.add(new Piece(part, partLoad(piece, part))));
        });
  }

  private void update(Holder holder, Runnable change) {
    boolean ranked = accepting.remove(holder);
    change.run();
    if (ranked) {
      accepting.add(holder);
    }
  }

  private Collection<KeyLoad> hotKeysOf(SliceRange range) {
    return loadKnown ? hotKeys.subMap(range.first(), true, range.last(), true).values() : List.of();
  }

  private double partLoad(Piece whole, SliceRange part) {
    double hotOfWhole = hotKeysOf(whole.range()).stream().mapToDouble(KeyLoad::rate).sum();
    double hotOfPart = hotKeysOf(part).stream().mapToDouble(KeyLoad::rate).sum();
    double scale = hotOfWhole > whole.load() ? whole.load() / hotOfWhole : 1;
    double rest = Math.max(0, whole.load() - hotOfWhole);
    return hotOfPart * scale + rest * part.share() / whole.range().share();
  }
}
