package org.foxtailford.core.range;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Assigns free ranges to upstreams, and moves parts of ranges from overloaded upstreams to less
 * loaded ones.
 *
 * <p>Handles hot keys that lie close together, the loss of upstreams, and new upstreams that don't
 * own any keys yet. Not thread-safe.
 */
final class RangePlanner {

  /**
   * Policy for keys that have just become hot: many moves at once, but only for differences that
   * are too large to be random.
   */
  private static final BalancingPolicy HOT_KEYS = new BalancingPolicy(1.5, 0, 16, 0.3, 1000);

  /** Policy for lasting differences in load: few moves at once, which may be small. */
  private static final BalancingPolicy LASTING_SKEW = new BalancingPolicy(1.12, 0.05, 4, 0, 2500);

  /** Load below which no part moves, in decayed requests; a few requests per second. */
  private static final double MIN_MOVED_LOAD = 4;

  /**
   * Ratio of peak loads, after a move to before it, that the move must stay below; smaller gains
   * don't justify a move.
   */
  private static final double MAX_PEAK_RATIO = 0.98;

  /**
   * Standard deviation of a decayed request count, as a fraction of the square root of its mean.
   */
  private static final double DECAYED_COUNT_DEVIATION = 0.72;

  /** Minimum ratio of the target's capacity to the owner's for moving a single hot key. */
  private static final double MIN_CAPACITY_RATIO = 1.25;

  /** Interval between rounds of balancing, in milliseconds; loads change little in less time. */
  private static final long ROUND_INTERVAL_MS = 500;

  private long nextRoundMs;

  /**
   * Thresholds and limits of one kind of balancing.
   *
   * @param overloadRatio ratio of an upstream's load to the mean above which part of it moves
   * @param minShare minimum load of a move, as a fraction of the mean load of an upstream
   * @param minMoves number of moves that may be begun at once for few upstreams; requests for their
   *     keys wait meanwhile
   * @param movesPerUpstream number of moves that may be begun at once for many upstreams, as a
   *     fraction of their number; a hot range takes as many moves as upstreams to share it
   * @param settleTimeMs time for which moved keys are not moved again, in milliseconds; covers some
   *     round trips. The first moves of a hot range are planned on few requests, and may give an
   *     upstream far too much
   */
  private record BalancingPolicy(
      double overloadRatio,
      double minShare,
      int minMoves,
      double movesPerUpstream,
      long settleTimeMs) {

    int maxMoves(int upstreams) {
      return Math.max(minMoves, (int) (movesPerUpstream * upstreams));
    }
  }

  /**
   * Move of part of a piece to another upstream.
   *
   * @param piece the piece that the part belongs to
   * @param part the keys that move
   * @param target the next owner of these keys
   */
  record Move(RangePiece piece, KeyRange part, RangeOwner target) {}

  private static final class UpstreamLoad {
    private final RangeCandidate candidate;
    private double load;
    private int width;

    UpstreamLoad(RangeCandidate candidate) {
      this.candidate = candidate;
    }

    double relativeLoad() {
      return load / candidate.capacity();
    }

    /** Returns the load that the upstream lacks to a mean relative load; negative if none. */
    double deficit(double mean) {
      return mean * candidate.capacity() - load;
    }

    /**
     * Returns the relative load for the placement of free pieces. Each key adds the mean load per
     * key, so that keys are spread evenly when there is no load.
     */
    double placementLoad(double loadPerKey) {
      return (load + width * loadPerKey) / candidate.capacity();
    }
  }

  /**
   * Sets a target for each free piece without one. Wide pieces are split over several upstreams.
   *
   * @param candidates upstreams that may own keys; not empty
   * @return the pieces, with those that were split replaced by their parts
   */
  List<RangePiece> placeFreePieces(
      List<RangePiece> pieces, Collection<RangeCandidate> candidates, KeyLoadHistory history) {
    DecayingKeyLoads loads = history.longTerm();
    if (pieces.stream().noneMatch(RangePiece::needsTarget)) {
      return pieces;
    }
    Map<RangeOwner, UpstreamLoad> loadsByOwner = upstreamLoads(pieces, candidates, loads);
    double meanLoadPerKey = Math.max(1, loads.total()) / KeyRange.KEYS;
    int fairWidth = Math.max(1, KeyRange.KEYS / loadsByOwner.size());
    List<RangePiece> placed = new ArrayList<>();
    for (RangePiece piece : pieces) {
      if (!piece.needsTarget()) {
        placed.add(piece);
        continue;
      }
      int first = piece.range().first();
      int parts = Math.max(1, Math.round((float) piece.range().width() / fairWidth));
      for (int part = 0; part < parts; part++) {
        int last =
            part == parts - 1
                ? piece.range().last()
                : first + (piece.range().last() - first + 1) / (parts - part) - 1;
        RangePiece section = piece.part(new KeyRange(first, last));
        UpstreamLoad upstream = leastLoaded(loadsByOwner, meanLoadPerKey);
        section.setTarget(upstream.candidate.owner());
        upstream.load += loads.of(section.range());
        upstream.width += section.range().width();
        placed.add(section);
        first = last + 1;
      }
    }
    return placed;
  }

  private static UpstreamLoad leastLoaded(
      Map<RangeOwner, UpstreamLoad> loadsByOwner, double meanLoadPerKey) {
    UpstreamLoad best = null;
    for (UpstreamLoad upstream : loadsByOwner.values()) {
      boolean better = best == null || best.candidate.cold() && !upstream.candidate.cold();
      boolean equallyWarm = best != null && best.candidate.cold() == upstream.candidate.cold();
      if (better
          || equallyWarm
              && upstream.placementLoad(meanLoadPerKey) < best.placementLoad(meanLoadPerKey)) {
        best = upstream;
      }
    }
    if (best == null) {
      throw new IllegalStateException("no candidate for a free range");
    }
    return best;
  }

  /**
   * Begins moves that balance the load, unless a move is in progress or the last round was recent.
   *
   * @return the pieces, with those that were split replaced by their parts
   */
  List<RangePiece> balance(
      List<RangePiece> pieces,
      Collection<RangeCandidate> candidates,
      KeyLoadHistory loads,
      long nowMs) {
    boolean hasFreePiece = pieces.stream().anyMatch(RangePiece::isFree);
    if (nowMs < nextRoundMs || hasFreePiece || candidates.size() < 2) {
      return pieces;
    }
    nextRoundMs = nowMs + ROUND_INTERVAL_MS;
    loads.decay(nowMs);
    List<RangePiece> planned = new ArrayList<>(pieces);
    int moves = balance(planned, candidates, loads.recent(), HOT_KEYS, nowMs);
    if (moves == 0) {
      balance(planned, candidates, loads.longTerm(), LASTING_SKEW, nowMs);
    }
    return planned;
  }

  private static int balance(
      List<RangePiece> planned,
      Collection<RangeCandidate> candidates,
      DecayingKeyLoads loads,
      BalancingPolicy policy,
      long nowMs) {
    Map<RangeOwner, UpstreamLoad> loadsByOwner = upstreamLoads(planned, candidates, loads);
    double capacity = loadsByOwner.values().stream().mapToDouble(s -> s.candidate.capacity()).sum();
    double mean = loads.total() / capacity;
    int moves = 0;
    int maxMoves = policy.maxMoves(loadsByOwner.size());
    while (moves < maxMoves) {
      Optional<Move> move = findNextMove(planned, loadsByOwner, loads, mean, policy, nowMs);
      if (move.isEmpty()) {
        break;
      }
      beginMove(planned, move.get(), nowMs);
      moves++;
    }
    return moves;
  }

  private static void beginMove(List<RangePiece> pieces, Move move, long nowMs) {
    KeyRange range = move.piece().range();
    KeyRange part = move.part();
    int index = pieces.indexOf(move.piece());
    pieces.remove(index);
    if (part.last() < range.last()) {
      pieces.add(index, move.piece().part(new KeyRange(part.last() + 1, range.last())));
    }
    RangePiece moved = move.piece().part(part);
    moved.beginRelease(nowMs);
    moved.setTarget(move.target());
    pieces.add(index, moved);
    if (part.first() > range.first()) {
      pieces.add(index, move.piece().part(new KeyRange(range.first(), part.first() - 1)));
    }
  }

  private static Optional<Move> findNextMove(
      List<RangePiece> pieces,
      Map<RangeOwner, UpstreamLoad> loadsByOwner,
      DecayingKeyLoads loads,
      double mean,
      BalancingPolicy policy,
      long nowMs) {
    List<UpstreamLoad> byLoad = new ArrayList<>(loadsByOwner.values());
    byLoad.sort(Comparator.comparingDouble(UpstreamLoad::relativeLoad).reversed());
    for (UpstreamLoad busy : byLoad) {
      Optional<Move> move = findMoveFrom(busy, pieces, loadsByOwner, loads, mean, policy, nowMs);
      if (move.isPresent()) {
        return move;
      }
    }
    return Optional.empty();
  }

  /**
   * Finds a move from one upstream. The target is the one with most room in absolute terms: one
   * with little capacity may be emptier in proportion, but could not take a part that is worth a
   * move.
   */
  private static Optional<Move> findMoveFrom(
      UpstreamLoad source,
      List<RangePiece> pieces,
      Map<RangeOwner, UpstreamLoad> loadsByOwner,
      DecayingKeyLoads loads,
      double mean,
      BalancingPolicy policy,
      long nowMs) {
    UpstreamLoad target =
        loadsByOwner.values().stream()
            .filter(upstream -> !upstream.candidate.cold())
            .max(Comparator.comparingDouble(upstream -> upstream.deficit(mean)))
            .orElse(null);
    if (target == null || source == target) {
      return Optional.empty();
    }
    double excess = (source.relativeLoad() - mean) * source.candidate.capacity();
    double deficit = target.deficit(mean);
    boolean overloaded =
        source.relativeLoad() > policy.overloadRatio() * mean
            && excess > randomExcess(loadsByOwner.size(), mean * source.candidate.capacity());
    boolean ownsNothing = target.width == 0;
    double desiredLoad = Math.min(excess, deficit);
    if (!overloaded && !ownsNothing || desiredLoad < minMovedLoad(policy, mean, target)) {
      return Optional.empty();
    }
    long settledSinceMs = nowMs - policy.settleTimeMs();
    Optional<Move> move =
        findHotKeyMove(pieces, source, loadsByOwner, loads, desiredLoad, settledSinceMs)
            .or(
                () ->
                    findPartMove(
                        pieces,
                        source,
                        target,
                        loads,
                        desiredLoad,
                        minMovedLoad(policy, mean, target),
                        settledSinceMs));
    if (move.isPresent()) {
      double moved = loads.of(move.get().part());
      UpstreamLoad receiver = loadsByOwner.get(move.get().target());
      source.load -= moved;
      receiver.load += moved;
      receiver.width += move.get().part().width();
    }
    return move;
  }

  /**
   * Returns the expected excess over the mean load of the busiest among equal upstreams whose loads
   * differ only randomly.
   */
  private static double randomExcess(int upstreams, double meanLoad) {
    return DECAYED_COUNT_DEVIATION * Math.sqrt(2 * Math.log(upstreams) * meanLoad);
  }

  /** Returns the minimum load that justifies a move, in decayed requests. */
  private static double minMovedLoad(BalancingPolicy policy, double mean, UpstreamLoad to) {
    return Math.max(MIN_MOVED_LOAD, policy.minShare() * mean * to.candidate.capacity());
  }

  /**
   * Finds a move of a single key that causes most of an upstream's load to an upstream with clearly
   * more capacity. One key can't be split, so only such an upstream helps.
   */
  private static Optional<Move> findHotKeyMove(
      List<RangePiece> pieces,
      UpstreamLoad from,
      Map<RangeOwner, UpstreamLoad> loadsByOwner,
      DecayingKeyLoads loads,
      double desiredLoad,
      long settledSinceMs) {
    UpstreamLoad strongest = from;
    for (UpstreamLoad upstream : loadsByOwner.values()) {
      boolean stronger = upstream.candidate.capacity() > strongest.candidate.capacity();
      strongest = stronger && !upstream.candidate.cold() ? upstream : strongest;
    }
    if (strongest.candidate.capacity() < from.candidate.capacity() * MIN_CAPACITY_RATIO) {
      return Optional.empty();
    }
    for (RangePiece piece : pieces) {
      if (piece.isOwnedBy(from.candidate.owner()) && piece.isSettled(settledSinceMs)) {
        KeyRange part = loads.narrowest(piece.range(), desiredLoad);
        if (part.width() == 1 && loads.of(part) > from.load / 2) {
          return Optional.of(new Move(piece, part, strongest.candidate.owner()));
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the part of an upstream's keys whose move lowers the peak load most. Among parts with
   * about the same effect it prefers narrow ones.
   */
  private static Optional<Move> findPartMove(
      List<RangePiece> pieces,
      UpstreamLoad from,
      UpstreamLoad to,
      DecayingKeyLoads loads,
      double desiredLoad,
      double minLoad,
      long settledSinceMs) {
    @Nullable Move best = null;
    double bestPeak = from.relativeLoad() * MAX_PEAK_RATIO;
    for (RangePiece piece : pieces) {
      if (!piece.isOwnedBy(from.candidate.owner()) || !piece.isSettled(settledSinceMs)) {
        continue;
      }
      for (KeyRange part : candidateParts(piece.range(), loads, desiredLoad)) {
        double load = loads.of(part);
        double peak =
            Math.max(
                (from.load - load) / from.candidate.capacity(),
                (to.load + load) / to.candidate.capacity());
        boolean better = peak < bestPeak * MAX_PEAK_RATIO;
        boolean narrower =
            best != null && peak < bestPeak / MAX_PEAK_RATIO && part.width() < best.part().width();
        if (load >= minLoad && (best == null ? peak < bestPeak : better || narrower)) {
          best = new Move(piece, part, to.candidate.owner());
          bestPeak = peak;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns parts of a range with about the desired load: the narrowest one and, if that is a
   * single hot key, the narrowest on each side of it.
   */
  private static List<KeyRange> candidateParts(
      KeyRange range, DecayingKeyLoads loads, double desiredLoad) {
    List<KeyRange> parts = new ArrayList<>();
    KeyRange narrowest = loads.narrowest(range, desiredLoad);
    parts.add(narrowest);
    if (narrowest.width() == 1) {
      if (narrowest.first() > range.first()) {
        parts.add(loads.narrowest(new KeyRange(range.first(), narrowest.first() - 1), desiredLoad));
      }
      if (narrowest.last() < range.last()) {
        parts.add(loads.narrowest(new KeyRange(narrowest.last() + 1, range.last()), desiredLoad));
      }
    }
    return parts;
  }

  private static Map<RangeOwner, UpstreamLoad> upstreamLoads(
      List<RangePiece> pieces, Collection<RangeCandidate> candidates, DecayingKeyLoads loads) {
    Map<RangeOwner, UpstreamLoad> loadsByOwner = new HashMap<>();
    candidates.forEach(c -> loadsByOwner.put(c.owner(), new UpstreamLoad(c)));
    for (RangePiece piece : pieces) {
      UpstreamLoad upstream = piece.target().or(piece::owner).map(loadsByOwner::get).orElse(null);
      if (upstream != null) {
        upstream.load += loads.of(piece.range());
        upstream.width += piece.range().width();
      }
    }
    return loadsByOwner;
  }
}
