package org.foxtailford.core.placement;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import org.foxtailford.core.placement.PlacementDraft.DraftSlice;
import org.foxtailford.core.placement.PlacementDraft.DraftUpstream;
import org.foxtailford.core.util.Assert;

/**
 * {@link PlacementPolicy} that keeps the load of each upstream close to the mean relative to its
 * capacity, with few and small moves. Immutable and deterministic: equal rounds yield equal plans.
 *
 * <p>A round first assigns unowned slices to the least loaded upstreams, then drains upstreams that
 * accept no slices, and then reduces the load of each upstream above the trigger imbalance to the
 * target imbalance. A slice whose load is too high to be moved is split, and a hot key in it
 * isolated. Adjacent cold slices of one owner are merged while the number of slices is near its
 * maximum.
 *
 * <p>No slice moves for load unless the load of an upstream exceeds both the trigger imbalance and
 * what sampling error explains. While no load is known, upstreams with less than half the mean
 * number of slices receive slices.
 */
public final class LoadAwarePolicy implements PlacementPolicy {

  /** Minimum load of a key that is isolated in a slice of its own, as a share of the mean load. */
  private static final double HOT_KEY_SHARE = 0.02;

  /** Maximum load of a moved slice: this factor times the excess plus a share of the mean load. */
  private static final double MAX_OVERSHOOT_FACTOR = 1.25;

  private static final double OVERSHOOT_SHARE = 0.01;

  /** Minimum share of the excess that a move must remove if a slice can be split instead. */
  private static final double MIN_EXCESS_SHARE = 0.25;

  /** Minimum load of a slice that is worth a move, as a share of the mean load. */
  private static final double MIN_MOVE_SHARE = 0.002;

  /**
   * Maximum load of the receiver after a move beyond the target, relative to the load that the
   * sender had before.
   */
  private static final double MAX_RECEIVER_LOAD_RATIO = 0.9;

  /** Default half-life of the weight of a request in a load, in milliseconds. */
  public static final long LOAD_HALF_LIFE_MS = 5000;

  /** Imbalance of widths above which slices move while no load is known. */
  private static final double IDLE_TRIGGER_IMBALANCE = 2;

  /** Share of the mean slice count below which an upstream is filled while no load is known. */
  private static final double IDLE_MIN_COUNT_SHARE = 0.5;

  /** Number of standard errors by which a load must exceed the mean before slices move. */
  private static final double SIGNIFICANT_ERRORS = 5;

  private static final double MS_PER_S = 1000;

  private final IntFunction<PlacementLimits> limitsByUpstreams;
  private final double variancePerRate;

  /** Creates a policy with the default limits, for loads with the default half-life. */
  public LoadAwarePolicy() {
    this(PlacementLimits::forUpstreams, LOAD_HALF_LIFE_MS);
  }

  /**
   * Creates a policy.
   *
   * @param limitsByUpstreams function that returns the limits for a number of upstreams
   * @param halfLifeMs half-life of the loads in milliseconds, which determines their sampling error
   */
  public LoadAwarePolicy(IntFunction<PlacementLimits> limitsByUpstreams, long halfLifeMs) {
    Assert.isTrue(halfLifeMs > 0, "halfLifeMs must be positive");
    this.limitsByUpstreams = Assert.notNull(limitsByUpstreams, "limitsByUpstreams");
    this.variancePerRate = Math.log(2) * MS_PER_S / (2 * halfLifeMs);
  }

  @Override
  public List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams) {
    List<UpstreamCapacity> capacities =
        upstreams.stream().map(UpstreamCapacity::accepting).toList();
    PlacementLimits limits = limitsByUpstreams.apply(upstreams.size()).withoutLayoutChanges();
    return plan(new PlacementRound(slices, capacities, List.of()), limits).moves();
  }

  @Override
  public PlacementPlan planRound(PlacementRound round) {
    return plan(round, limitsByUpstreams.apply(round.upstreams().size()));
  }

  private PlacementPlan plan(PlacementRound round, PlacementLimits limits) {
    PlacementDraft draft = new PlacementDraft(round);
    if (draft.acceptingUpstreams().isEmpty()) {
      return PlacementPlan.NONE;
    }
    assignUnowned(draft);
    drain(draft, limits.maxDrainMoves());
    int remainingMoves = limits.maxMoves() - balance(draft, limits);
    if (!draft.isLoadKnown()) {
      remainingMoves -= fillByCount(draft, remainingMoves);
    }
    ColdSliceMerger merger = new ColdSliceMerger(round, draft, limits);
    List<SliceMove> moves = draft.moves();
    moves.addAll(merger.moveFragments(remainingMoves));
    return new PlacementPlan(merger.merges(), draft.splits(), moves);
  }

  private static void assignUnowned(PlacementDraft draft) {
    for (DraftSlice slice : draft.unowned()) {
      draft.move(slice, null, draft.leastLoadedPreferred().orElseThrow());
    }
  }

  private static void drain(PlacementDraft draft, int maxMoves) {
    int remainingMoves = maxMoves;
    for (DraftUpstream upstream : draft.draining()) {
      while (remainingMoves > 0 && !upstream.draftSlices().isEmpty()) {
        draft.move(
            upstream.draftSlices().last(), upstream, draft.leastLoadedPreferred().orElseThrow());
        remainingMoves--;
      }
    }
  }

  private int balance(PlacementDraft draft, PlacementLimits limits) {
    int movesBefore = draft.moves().size();
    Set<DraftUpstream> settled = new HashSet<>();
    while (draft.moves().size() - movesBefore < limits.maxMoves()) {
      Optional<DraftUpstream> overloaded =
          draft.busiestFirst().stream()
              .takeWhile(
                  upstream ->
                      upstream.relativeLoad() > limits.triggerImbalance() * draft.meanLoad())
              .filter(upstream -> !settled.contains(upstream))
              .findFirst();
      if (overloaded.isEmpty()) {
        break;
      }
      DraftUpstream upstream = overloaded.get();
      boolean exceeds = upstream.relativeLoad() > threshold(draft, limits, upstream);
      if (!exceeds || !reduceExcess(draft, limits, upstream, movesBefore)) {
        settled.add(upstream);
      }
    }
    return draft.moves().size() - movesBefore;
  }

  /** Moves slices to upstreams that have far fewer than others; returns the number of moves. */
  private static int fillByCount(PlacementDraft draft, int maxMoves) {
    Comparator<DraftUpstream> byCount =
        Comparator.comparingDouble(DraftUpstream::relativeSliceCount)
            .thenComparing(upstream -> upstream.capacity().name());
    double minCount = IDLE_MIN_COUNT_SHARE * draft.meanSliceCount();
    int moves = 0;
    while (moves < maxMoves) {
      DraftUpstream to = Collections.min(draft.acceptingUpstreams(), byCount);
      DraftUpstream from = Collections.max(draft.acceptingUpstreams(), byCount);
      boolean reducesDifference = from.relativeSliceCount() - to.relativeSliceCount() > 1;
      if (to.relativeSliceCount() >= minCount
          || !reducesDifference
          || from.draftSlices().isEmpty()) {
        break;
      }
      draft.move(from.draftSlices().first(), from, to);
      moves++;
    }
    return moves;
  }

  /** Moves or splits slices until the target is reached; returns whether anything changed. */
  private static boolean reduceExcess(
      PlacementDraft draft, PlacementLimits limits, DraftUpstream upstream, int movesBefore) {
    boolean changed = false;
    while (excess(draft, limits, upstream) > 0
        && draft.moves().size() - movesBefore < limits.maxMoves()
        && reduceExcessOnce(draft, limits, upstream)) {
      changed = true;
    }
    return changed;
  }

  /** Returns the relative load above which slices move, chosen beyond any likely sampling error. */
  private double threshold(PlacementDraft draft, PlacementLimits limits, DraftUpstream upstream) {
    double mean = draft.meanLoad();
    if (!draft.isLoadKnown()) {
      return IDLE_TRIGGER_IMBALANCE * mean;
    }
    double error = Math.sqrt(mean * variancePerRate / upstream.capacity().weight());
    return Math.max(limits.triggerImbalance() * mean, mean + SIGNIFICANT_ERRORS * error);
  }

  private static double excess(
      PlacementDraft draft, PlacementLimits limits, DraftUpstream upstream) {
    return upstream.load()
        - limits.targetImbalance() * draft.meanLoad() * upstream.capacity().weight();
  }

  /** Moves a slice away from an upstream or splits one; returns whether either was possible. */
  private static boolean reduceExcessOnce(
      PlacementDraft draft, PlacementLimits limits, DraftUpstream from) {
    DraftUpstream preferred = draft.leastLoadedPreferred().orElseThrow();
    DraftUpstream fallback = draft.leastLoadedOverall();
    return moveOrSplit(draft, limits, from, preferred)
        || (preferred != fallback && moveOrSplit(draft, limits, from, fallback))
        || moveBeyondTarget(draft, from, fallback, excess(draft, limits, from));
  }

  private static boolean moveOrSplit(
      PlacementDraft draft, PlacementLimits limits, DraftUpstream from, DraftUpstream to) {
    double excess = excess(draft, limits, from);
    double headroom = -excess(draft, limits, to);
    if (headroom <= 0) {
      return false;
    }
    double maxMovedLoad = MAX_OVERSHOOT_FACTOR * excess + OVERSHOOT_SHARE * draft.meanLoad();
    Optional<DraftSlice> toSplit =
        findSliceToSplit(draft, limits, from, Math.min(maxMovedLoad, headroom));
    Optional<DraftSlice> choice = findBestSlice(draft, from, excess, headroom, toSplit.isPresent());
    if (choice.isPresent()) {
      draft.move(choice.get(), from, to);
      return true;
    }
    toSplit.ifPresent(slice -> draft.split(from, slice, HOT_KEY_SHARE * draft.meanLoad()));
    return toSplit.isPresent();
  }

  /**
   * Moves a slice for which no upstream has headroom, if the receiver is then less loaded than the
   * sender was before.
   */
  private static boolean moveBeyondTarget(
      PlacementDraft draft, DraftUpstream from, DraftUpstream to, double excess) {
    double maxMovedLoad =
        MAX_RECEIVER_LOAD_RATIO * from.relativeLoad() * to.capacity().weight() - to.load();
    DraftSlice slice =
        from.draftSlices()
            .floor(new DraftSlice(PlacementDraft.HIGHEST_RANGE, Math.min(excess, maxMovedLoad)));
    if (slice == null || slice.load() < MIN_MOVE_SHARE * draft.meanLoad()) {
      return false;
    }
    draft.move(slice, from, to);
    return true;
  }

  /**
   * Finds the slice to move: one whose load is closest to the excess and fits into the headroom;
   * empty if there is none or if a split is preferable.
   */
  private static Optional<DraftSlice> findBestSlice(
      PlacementDraft draft, DraftUpstream from, double excess, double headroom, boolean canSplit) {
    DraftSlice above =
        from.draftSlices().ceiling(new DraftSlice(PlacementDraft.LOWEST_RANGE, excess));
    boolean fits = above != null && above.load() <= headroom;
    double maxMovedLoad = MAX_OVERSHOOT_FACTOR * excess + OVERSHOOT_SHARE * draft.meanLoad();
    if (fits && above.load() <= maxMovedLoad) {
      return Optional.of(above);
    }
    DraftSlice below =
        from.draftSlices()
            .floor(new DraftSlice(PlacementDraft.HIGHEST_RANGE, Math.min(excess, headroom)));
    double minLoad = MIN_MOVE_SHARE * draft.meanLoad();
    double minLoadBelow = canSplit ? Math.max(minLoad, MIN_EXCESS_SHARE * excess) : minLoad;
    if (below != null && below.load() >= minLoadBelow) {
      return Optional.of(below);
    }
    return fits && !canSplit ? Optional.of(above) : Optional.empty();
  }

  /** Finds the divisible slice of the highest load, if its load is too high to be moved whole. */
  private static Optional<DraftSlice> findSliceToSplit(
      PlacementDraft draft, PlacementLimits limits, DraftUpstream upstream, double maxLoad) {
    int maxSlices = limits.maxSlicesPerUpstream() * draft.acceptingUpstreams().size();
    boolean allowed =
        draft.splits().size() < limits.maxLayoutChanges() && draft.sliceCount() + 2 <= maxSlices;
    if (!allowed) {
      return Optional.empty();
    }
    double minLoad = Math.max(maxLoad, 2 * MIN_MOVE_SHARE * draft.meanLoad());
    return upstream.draftSlices().descendingSet().stream()
        .filter(DraftSlice::isDivisible)
        .findFirst()
        .filter(slice -> slice.load() > minLoad);
  }
}
