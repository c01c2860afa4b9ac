package org.foxtailford.core.range;

import java.util.ArrayList;
import java.util.Collection;
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

  /** Load of an upstream over the mean at which a part of it moves. */
  private static final double BUSY_RATIO = 1.35;

  /** Load, in fading requests, below which nothing moves; a few requests a second. */
  private static final double LEAST_MOVED_LOAD = 4;

  /** Time for which moved keys stay, in milliseconds; some round trips and a warm-up. */
  private static final long SETTLE_MS = 2500;

  /** Time between two rounds, in milliseconds; the loads change little in less. */
  private static final long ROUND_MS = 500;

  /** Most moves at once: their keys wait meanwhile. */
  private static final int MOST_MOVES = 3;

  private long nextRoundMs;

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
      List<RangePiece> pieces, Collection<RangeCandidate> candidates, KeyLoadBook loads) {
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

  /** Chooses parts that move to balance the load. */
  List<Move> balance(
      List<RangePiece> pieces,
      Collection<RangeCandidate> candidates,
      KeyLoadBook loads,
      long nowMs) {
    boolean moving = pieces.stream().anyMatch(RangePiece::isFree);
    if (nowMs < nextRoundMs || moving || candidates.size() < 2) {
      return List.of();
    }
    nextRoundMs = nowMs + ROUND_MS;
    loads.fade(nowMs);
    Map<RangeOwner, Share> shares = shares(pieces, candidates, loads);
    double capacity = shares.values().stream().mapToDouble(s -> s.candidate.capacity()).sum();
    double mean = loads.total() / capacity;
    List<Move> moves = new ArrayList<>();
    for (int i = 0; i < MOST_MOVES; i++) {
      Optional<Move> move = next(pieces, shares, loads, mean, moves, nowMs);
      if (move.isEmpty()) {
        break;
      }
      moves.add(move.get());
    }
    return moves;
  }

  private static Optional<Move> next(
      List<RangePiece> pieces,
      Map<RangeOwner, Share> shares,
      KeyLoadBook loads,
      double mean,
      List<Move> planned,
      long nowMs) {
    Share most = null;
    Share least = null;
    for (Share share : shares.values()) {
      most = most == null || share.relativeLoad() > most.relativeLoad() ? share : most;
      boolean warm = !share.candidate.cold();
      least =
          warm && (least == null || share.relativeLoad() < least.relativeLoad()) ? share : least;
    }
    if (most == null || least == null || most == least) {
      return Optional.empty();
    }
    double excess = (most.relativeLoad() - mean) * most.candidate.capacity();
    double lack = (mean - least.relativeLoad()) * least.candidate.capacity();
    boolean busy = most.relativeLoad() > BUSY_RATIO * mean;
    boolean idle = least.width == 0;
    double wanted = Math.min(excess, lack);
    if (!busy && !idle || wanted < LEAST_MOVED_LOAD) {
      return Optional.empty();
    }
    Optional<Move> move = cut(pieces, most, least, loads, wanted, planned, nowMs);
    if (move.isPresent()) {
      double moved = loads.of(move.get().part());
      most.load -= moved;
      least.load += moved;
      least.width += move.get().part().width();
    }
    return move;
  }

  private static Optional<Move> cut(
      List<RangePiece> pieces,
      Share from,
      Share to,
      KeyLoadBook loads,
      double wanted,
      List<Move> planned,
      long nowMs) {
    @Nullable RangePiece bestPiece = null;
    @Nullable KeyRange best = null;
    for (RangePiece piece : pieces) {
      boolean movable =
          piece.isOwnedBy(from.candidate.owner())
              && piece.isSettled(nowMs - SETTLE_MS)
              && planned.stream().noneMatch(m -> m.piece() == piece);
      if (movable && loads.of(piece.range()) >= wanted) {
        KeyRange part = loads.narrowest(piece.range(), wanted);
        boolean moderate = loads.of(part) < wanted * 1.8;
        if (moderate && (best == null || part.width() < best.width())) {
          bestPiece = piece;
          best = part;
        }
      }
    }
    return bestPiece == null || best == null
        ? Optional.empty()
        : Optional.of(new Move(bestPiece, best, to.candidate.owner()));
  }

  private static Map<RangeOwner, Share> shares(
      List<RangePiece> pieces, Collection<RangeCandidate> candidates, KeyLoadBook loads) {
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
