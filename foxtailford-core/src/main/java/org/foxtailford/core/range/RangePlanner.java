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
 * Places free ranges, and moves hot parts from busy upstreams to idle ones.
 *
 * <p>Answers the load patterns of hot keys that lie close together, lost upstreams, and new ones
 * that own nothing.
 */
final class RangePlanner {

  /** Keys that have just become hot: many moves at once, but not for a difference by chance. */
  private static final Urgency HOT = new Urgency(1.5, 0, 16);

  /** Lasting differences: few moves at once, also for small parts. */
  private static final Urgency UNEVEN = new Urgency(1.12, 0.05, 4);

  /** Load, in fading requests, below which nothing moves; a few requests a second. */
  private static final double LEAST_MOVED_LOAD = 4;

  /**
   * Load of the busiest upstream after a move, as part of what it was, for the move to be worth it.
   */
  private static final double LEAST_GAIN = 0.98;

  /** Usual deviation of a fading count, as part of the root of its mean. */
  private static final double FADING_DEVIATION = 0.72;

  /** How much stronger an upstream must be for a single hot key to move to it. */
  private static final double STRONGER = 1.25;

  /** Time for which moved keys stay, in milliseconds; some round trips and a warm-up. */
  private static final long SETTLE_MS = 2500;

  /** Time between two rounds, in milliseconds; the loads change little in less. */
  private static final long ROUND_MS = 500;

  private long nextRoundMs;

  /**
   * How much unevenness is worth how many moves.
   *
   * @param busyRatio load of an upstream over the mean at which a part of it moves
   * @param leastShare least load that moves, as part of the mean load of an upstream
   * @param mostMoves most moves begun at once: their keys wait meanwhile
   */
  private record Urgency(double busyRatio, double leastShare, int mostMoves) {}

  /**
   * Move of a part of a piece.
   *
   * @param piece the piece
   * @param part its keys that move
   * @param target their next owner
   */
  record Move(RangePiece piece, KeyRange part, RangeOwner target) {}

  private static final class Share {
    private final RangeCandidate candidate;
    private double load;
    private int width;

    Share(RangeCandidate candidate) {
      this.candidate = candidate;
    }

    double relativeLoad() {
      return load / candidate.capacity();
    }

    /** Orders by load; without load, by keys. */
    double fill(double loadPerKey) {
      return (load + width * loadPerKey) / candidate.capacity();
    }
  }

  /** Gives a target to each free piece without one; wide pieces are split over several. */
  List<RangePiece> placeFree(
      List<RangePiece> pieces, Collection<RangeCandidate> candidates, KeyLoadHistory history) {
    DecayingKeyLoads loads = history.longTerm();
    if (pieces.stream().noneMatch(RangePiece::needsTarget)) {
      return pieces;
    }
    Map<RangeOwner, Share> shares = shares(pieces, candidates, loads);
    double perKey = Math.max(1, loads.total()) / KeyRange.KEYS;
    int fairWidth = Math.max(1, KeyRange.KEYS / shares.size());
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
        RangePiece one = piece.part(new KeyRange(first, last));
        Share share = least(shares, perKey);
        one.setTarget(share.candidate.owner());
        share.load += loads.of(one.range());
        share.width += one.range().width();
        placed.add(one);
        first = last + 1;
      }
    }
    return placed;
  }

  private static Share least(Map<RangeOwner, Share> shares, double perKey) {
    Share best = null;
    for (Share share : shares.values()) {
      boolean better = best == null || best.candidate.cold() && !share.candidate.cold();
      boolean sameKind = best != null && best.candidate.cold() == share.candidate.cold();
      if (better || sameKind && share.fill(perKey) < best.fill(perKey)) {
        best = share;
      }
    }
    if (best == null) {
      throw new IllegalStateException("no candidate for a free range");
    }
    return best;
  }

  /**
   * Begins moves that balance the load.
   *
   * @return the pieces, those that are cut in their parts
   */
  List<RangePiece> balance(
      List<RangePiece> pieces,
      Collection<RangeCandidate> candidates,
      KeyLoadHistory loads,
      long nowMs) {
    boolean moving = pieces.stream().anyMatch(RangePiece::isFree);
    if (nowMs < nextRoundMs || moving || candidates.size() < 2) {
      return pieces;
    }
    nextRoundMs = nowMs + ROUND_MS;
    loads.decay(nowMs);
    List<RangePiece> planned = new ArrayList<>(pieces);
    int moves = balance(planned, candidates, loads.recent(), HOT, nowMs);
    if (moves == 0) {
      balance(planned, candidates, loads.longTerm(), UNEVEN, nowMs);
    }
    return planned;
  }

  private static int balance(
      List<RangePiece> planned,
      Collection<RangeCandidate> candidates,
      DecayingKeyLoads loads,
      Urgency urgency,
      long nowMs) {
    Map<RangeOwner, Share> shares = shares(planned, candidates, loads);
    double capacity = shares.values().stream().mapToDouble(s -> s.candidate.capacity()).sum();
    double mean = loads.total() / capacity;
    int moves = 0;
    while (moves < urgency.mostMoves()) {
      Optional<Move> move = next(planned, shares, loads, mean, urgency, nowMs);
      if (move.isEmpty()) {
        break;
      }
      begin(planned, move.get(), nowMs);
      moves++;
    }
    return moves;
  }

  private static void begin(List<RangePiece> pieces, Move move, long nowMs) {
    KeyRange range = move.piece().range();
    KeyRange part = move.part();
    int at = pieces.indexOf(move.piece());
    pieces.remove(at);
    if (part.last() < range.last()) {
      pieces.add(at, move.piece().part(new KeyRange(part.last() + 1, range.last())));
    }
    RangePiece moved = move.piece().part(part);
    moved.beginRelease(nowMs);
    moved.setTarget(move.target());
    pieces.add(at, moved);
    if (part.first() > range.first()) {
      pieces.add(at, move.piece().part(new KeyRange(range.first(), part.first() - 1)));
    }
  }

  private static Optional<Move> next(
      List<RangePiece> pieces,
      Map<RangeOwner, Share> shares,
      DecayingKeyLoads loads,
      double mean,
      Urgency urgency,
      long nowMs) {
    Share most =
        shares.values().stream().max(Comparator.comparingDouble(Share::relativeLoad)).orElse(null);
    Share least =
        shares.values().stream()
            .filter(share -> !share.candidate.cold())
            .min(Comparator.comparingDouble(Share::relativeLoad))
            .orElse(null);
    if (most == null || least == null || most == least) {
      return Optional.empty();
    }
    double excess = (most.relativeLoad() - mean) * most.candidate.capacity();
    double lack = (mean - least.relativeLoad()) * least.candidate.capacity();
    boolean busy =
        most.relativeLoad() > urgency.busyRatio() * mean
            && excess > byChance(shares.size(), mean * most.candidate.capacity());
    boolean idle = least.width == 0;
    double wanted = Math.min(excess, lack);
    if (!busy && !idle || wanted < least(urgency, mean, least)) {
      return Optional.empty();
    }
    Optional<Move> move =
        hotKey(pieces, most, shares, loads, wanted, nowMs)
            .or(() -> cut(pieces, most, least, loads, wanted, least(urgency, mean, least), nowMs));
    if (move.isPresent()) {
      double moved = loads.of(move.get().part());
      Share target = shares.get(move.get().target());
      most.load -= moved;
      target.load += moved;
      target.width += move.get().part().width();
    }
    return move;
  }

  /** Returns by how much the busiest of many equal upstreams exceeds their mean load by chance. */
  private static double byChance(int upstreams, double meanLoad) {
    return FADING_DEVIATION * Math.sqrt(2 * Math.log(upstreams) * meanLoad);
  }

  /** Returns the least load that is worth a move. */
  private static double least(Urgency urgency, double mean, Share to) {
    return Math.max(LEAST_MOVED_LOAD, urgency.leastShare() * mean * to.candidate.capacity());
  }

  /** Moves a key that no upstream can share with others to a clearly stronger upstream. */
  private static Optional<Move> hotKey(
      List<RangePiece> pieces,
      Share from,
      Map<RangeOwner, Share> shares,
      DecayingKeyLoads loads,
      double wanted,
      long nowMs) {
    Share strongest = from;
    for (Share share : shares.values()) {
      boolean stronger = share.candidate.capacity() > strongest.candidate.capacity();
      strongest = stronger && !share.candidate.cold() ? share : strongest;
    }
    if (strongest.candidate.capacity() < from.candidate.capacity() * STRONGER) {
      return Optional.empty();
    }
    for (RangePiece piece : pieces) {
      if (piece.isOwnedBy(from.candidate.owner()) && piece.isSettled(nowMs - SETTLE_MS)) {
        KeyRange part = loads.narrowest(piece.range(), wanted);
        if (part.width() == 1 && loads.of(part) > from.load / 2) {
          return Optional.of(new Move(piece, part, strongest.candidate.owner()));
        }
      }
    }
    return Optional.empty();
  }

  /** Finds the part of the busiest upstream's keys whose move helps most; narrow ones first. */
  private static Optional<Move> cut(
      List<RangePiece> pieces,
      Share from,
      Share to,
      DecayingKeyLoads loads,
      double wanted,
      double leastLoad,
      long nowMs) {
    @Nullable Move best = null;
    double bestPeak = from.relativeLoad() * LEAST_GAIN;
    for (RangePiece piece : pieces) {
      if (!piece.isOwnedBy(from.candidate.owner()) || !piece.isSettled(nowMs - SETTLE_MS)) {
        continue;
      }
      for (KeyRange part : parts(piece.range(), loads, wanted)) {
        double load = loads.of(part);
        double peak =
            Math.max(
                (from.load - load) / from.candidate.capacity(),
                (to.load + load) / to.candidate.capacity());
        boolean better = peak < bestPeak * LEAST_GAIN;
        boolean narrower =
            best != null && peak < bestPeak / LEAST_GAIN && part.width() < best.part().width();
        if (load >= leastLoad && (best == null ? peak < bestPeak : better || narrower)) {
          best = new Move(piece, part, to.candidate.owner());
          bestPeak = peak;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns parts with about the wanted load: the narrowest, and those beside a single hot key. */
  private static List<KeyRange> parts(KeyRange range, DecayingKeyLoads loads, double wanted) {
    List<KeyRange> parts = new ArrayList<>();
    KeyRange narrowest = loads.narrowest(range, wanted);
    parts.add(narrowest);
    if (narrowest.width() == 1) {
      if (narrowest.first() > range.first()) {
        parts.add(loads.narrowest(new KeyRange(range.first(), narrowest.first() - 1), wanted));
      }
      if (narrowest.last() < range.last()) {
        parts.add(loads.narrowest(new KeyRange(narrowest.last() + 1, range.last()), wanted));
      }
    }
    return parts;
  }

  private static Map<RangeOwner, Share> shares(
      List<RangePiece> pieces, Collection<RangeCandidate> candidates, DecayingKeyLoads loads) {
    Map<RangeOwner, Share> shares = new HashMap<>();
    candidates.forEach(c -> shares.put(c.owner(), new Share(c)));
    for (RangePiece piece : pieces) {
      Share share = piece.target().or(piece::owner).map(shares::get).orElse(null);
      if (share != null) {
        share.load += loads.of(piece.range());
        share.width += piece.range().width();
      }
    }
    return shares;
  }
}
