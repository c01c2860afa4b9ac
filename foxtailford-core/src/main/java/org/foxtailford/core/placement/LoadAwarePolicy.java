package org.foxtailford.core.placement;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import org.foxtailford.core.placement.PlacementDraft.Holder;
import org.foxtailford.core.placement.PlacementDraft.Piece;
import org.foxtailford.core.util.Assert;

/**
 * Keeps the load of upstreams near the mean by capacity, with few and small moves.
 *
 * <p>Free slices go to the least loaded upstreams first. Then upstreams that are to be emptied give
 * slices away, and last those whose load is above the trigger, down to the target. A slice that is
 * too heavy to move is divided, a hot key by itself; cold neighbours of one owner are joined while
 * there are many slices. Nothing moves for load while no upstream is above the trigger, and above
 * what the error of sampling explains. While no load is known, upstreams with less than half the
 * mean number of slices are filled. The same round gives the same plan.
 */
public final class LoadAwarePolicy implements PlacementPolicy {

  /** Share of the mean load from which a key gets a slice of its own. */
  private static final double HOT_KEY_SHARE = 0.02;

  /** Load that a move may shed beyond the excess, as a share of the excess and of the mean. */
  private static final double MAX_OVERSHOOT = 1.25;

  private static final double OVERSHOOT_SHARE = 0.01;

  /** Least part of the excess that a move should shed while a split could do better. */
  private static final double MIN_EXCESS_PART = 0.25;

  /** Least load that is worth a move, as a share of the mean. */
  private static final double MIN_MOVE_SHARE = 0.002;

  /**
   * Load of the receiver of a slice that nobody has room for, relative to the load it came from.
   */
  private static final double MAX_REMAINDER = 0.9;

  /** Usual time in which the weight of a request in a load halves, in milliseconds. */
  public static final long LOAD_HALF_LIFE_MS = 5000;

  /** Imbalance of widths above which slices move while no load is known. */
  private static final double IDLE_TRIGGER_IMBALANCE = 2;

  /** Part of the mean number of slices below which an upstream is filled while no load is known. */
  private static final double IDLE_LEAST_SHARE = 0.5;

  /** Standard errors by which a load must exceed the mean before slices move. */
  private static final double SIGNIFICANT_ERRORS = 5;

  private static final double MS_PER_S = 1000;

  private final IntFunction<PlacementLimits> limitsByUpstreams;
  private final double variancePerRate;

  /** Creates the policy with the usual limits, for loads of the usual half-life. */
  public LoadAwarePolicy() {
    this(PlacementLimits::forUpstreams, LOAD_HALF_LIFE_MS);
  }

  /**
   * Creates the policy.
   *
   * @param limitsByUpstreams gives the limits for a number of upstreams
   * @param halfLifeMs half-life of the loads, from which their sampling error follows, in
   *     milliseconds
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
    if (draft.acceptingHolders().isEmpty()) {
      return PlacementPlan.NONE;
    }
    placeFree(draft);
    drain(draft, limits.maxDrainMoves());
    int left = limits.maxMoves() - balance(draft, limits);
    if (!draft.loadKnown()) {
      left -= fillByCount(draft, left);
    }
    ColdSliceMerger merger = new ColdSliceMerger(round, draft, limits);
    List<SliceMove> moves = draft.moves();
    moves.addAll(merger.returnStrays(left));
    return new PlacementPlan(merger.merges(), draft.splits(), moves);
  }

  private static void placeFree(PlacementDraft draft) {
    for (Piece piece : draft.free()) {
      draft.move(piece, null, draft.leastLoaded().orElseThrow());
    }
  }

  private static void drain(PlacementDraft draft, int maxMoves) {
    int left = maxMoves;
    for (Holder holder : draft.leaving()) {
      while (left > 0 && !holder.pieces().isEmpty()) {
        draft.move(holder.pieces().last(), holder, draft.leastLoaded().orElseThrow());
        left--;
      }
    }
  }

  private int balance(PlacementDraft draft, PlacementLimits limits) {
    int movesBefore = draft.moves().size();
    Set<Holder> settled = new HashSet<>();
    while (draft.moves().size() - movesBefore < limits.maxMoves()) {
      Optional<Holder> overloaded =
          draft.busiestFirst().stream()
              .takeWhile(holder -> holder.relativeLoad() > limits.triggerImbalance() * draft.mean())
              .filter(holder -> !settled.contains(holder))
              .findFirst();
      if (overloaded.isEmpty()) {
        break;
      }
      Holder holder = overloaded.get();
      boolean exceeds = holder.relativeLoad() > threshold(draft, limits, holder);
      if (!exceeds || !shedAll(draft, limits, holder, movesBefore)) {
        settled.add(holder);
      }
    }
    return draft.moves().size() - movesBefore;
  }

  /** Gives slices to upstreams that have far fewer than others; returns how many. */
  private static int fillByCount(PlacementDraft draft, int maxMoves) {
    Comparator<Holder> byCount =
        Comparator.comparingDouble(Holder::relativeSliceCount)
            .thenComparing(holder -> holder.capacity().name());
    double least = IDLE_LEAST_SHARE * draft.meanSliceCount();
    int moves = 0;
    while (moves < maxMoves) {
      Holder to = Collections.min(draft.acceptingHolders(), byCount);
      Holder from = Collections.max(draft.acceptingHolders(), byCount);
      boolean evens = from.relativeSliceCount() - to.relativeSliceCount() > 1;
      if (to.relativeSliceCount() >= least || !evens || from.pieces().isEmpty()) {
        break;
      }
      draft.move(from.pieces().first(), from, to);
      moves++;
    }
    return moves;
  }

  /** Sheds slices down to the target; returns whether something changed. */
  private static boolean shedAll(
      PlacementDraft draft, PlacementLimits limits, Holder holder, int movesBefore) {
    boolean changed = false;
    while (excess(draft, limits, holder) > 0
        && draft.moves().size() - movesBefore < limits.maxMoves()
        && shedOnce(draft, limits, holder)) {
      changed = true;
    }
    return changed;
  }

  /** Returns the relative load above which slices move: no error of sampling reaches it. */
  private double threshold(PlacementDraft draft, PlacementLimits limits, Holder holder) {
    double mean = draft.mean();
    if (!draft.loadKnown()) {
      return IDLE_TRIGGER_IMBALANCE * mean;
    }
    double error = Math.sqrt(mean * variancePerRate / holder.capacity().weight());
    return Math.max(limits.triggerImbalance() * mean, mean + SIGNIFICANT_ERRORS * error);
  }

  private static double excess(PlacementDraft draft, PlacementLimits limits, Holder holder) {
    return holder.load() - limits.targetImbalance() * draft.mean() * holder.capacity().weight();
  }

  /** Moves one slice off an upstream, or divides one; returns whether it did either. */
  private static boolean shedOnce(PlacementDraft draft, PlacementLimits limits, Holder from) {
    Holder quiet = draft.leastLoaded().orElseThrow();
    Holder idlest = draft.leastLoadedOfAll();
    return shedTo(draft, limits, from, quiet)
        || (quiet != idlest && shedTo(draft, limits, from, idlest))
        || shedBeyondTarget(draft, from, idlest, excess(draft, limits, from));
  }

  private static boolean shedTo(
      PlacementDraft draft, PlacementLimits limits, Holder from, Holder to) {
    double excess = excess(draft, limits, from);
    double room = -excess(draft, limits, to);
    if (room <= 0) {
      return false;
    }
    double most = MAX_OVERSHOOT * excess + OVERSHOOT_SHARE * draft.mean();
    Optional<Piece> tooHeavy = tooHeavy(draft, limits, from, Math.min(most, room));
    Optional<Piece> choice = choose(draft, from, excess, room, tooHeavy.isPresent());
    if (choice.isPresent()) {
      draft.move(choice.get(), from, to);
      return true;
    }
    tooHeavy.ifPresent(piece -> draft.split(from, piece, HOT_KEY_SHARE * draft.mean()));
    return tooHeavy.isPresent();
  }

  /** Moves a slice that nobody has room for, if both ends are then better off than the first. */
  private static boolean shedBeyondTarget(
      PlacementDraft draft, Holder from, Holder to, double excess) {
    double most = MAX_REMAINDER * from.relativeLoad() * to.capacity().weight() - to.load();
    Piece piece = from.pieces().floor(new Piece(PlacementDraft.HIGHEST, Math.min(excess, most)));
    if (piece == null || piece.load() < MIN_MOVE_SHARE * draft.mean()) {
      return false;
    }
    draft.move(piece, from, to);
    return true;
  }

  /** Chooses the slice whose load is nearest to the excess, none if a split can do better. */
  private static Optional<Piece> choose(
      PlacementDraft draft, Holder from, double excess, double room, boolean canSplit) {
    Piece above = from.pieces().ceiling(new Piece(PlacementDraft.LOWEST, excess));
    boolean fits = above != null && above.load() <= room;
    double most = MAX_OVERSHOOT * excess + OVERSHOOT_SHARE * draft.mean();
    if (fits && above.load() <= most) {
      return Optional.of(above);
    }
    Piece below = from.pieces().floor(new Piece(PlacementDraft.HIGHEST, Math.min(excess, room)));
    double least = MIN_MOVE_SHARE * draft.mean();
    double wanted = canSplit ? Math.max(least, MIN_EXCESS_PART * excess) : least;
    if (below != null && below.load() >= wanted) {
      return Optional.of(below);
    }
    return fits && !canSplit ? Optional.of(above) : Optional.empty();
  }

  /** Returns the heaviest slice that can be divided, if it sheds too much to be moved whole. */
  private static Optional<Piece> tooHeavy(
      PlacementDraft draft, PlacementLimits limits, Holder holder, double mostLoad) {
    int maxSlices = limits.maxSlicesPerUpstream() * draft.acceptingHolders().size();
    boolean allowed =
        draft.splits().size() < limits.maxLayoutChanges() && draft.sliceCount() + 2 <= maxSlices;
    if (!allowed) {
      return Optional.empty();
    }
    double least = Math.max(mostLoad, 2 * MIN_MOVE_SHARE * draft.mean());
    return holder.pieces().descendingSet().stream()
        .filter(Piece::isDivisible)
        .findFirst()
        .filter(piece -> piece.load() > least);
  }
}
