package org.foxtailford.core.range;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.foxtailford.core.util.Assert;

/**
 * Decides for one service which upstream is granted which keys; used by the present leader.
 *
 * <p>A range moves in three steps: it is released, or its hold time runs out; the map with the new
 * owner and a higher fence is written; only then it is granted. A renewal repeats a recorded grant,
 * so that it harms nobody, whoever sends it. Not thread-safe; each order's outcome is told before
 * the next order for the same range is given.
 */
public final class RangeController {

  /**
   * Time for which the first upstreams are awaited, in milliseconds; over one of their heartbeats.
   */
  private static final long GATHER_MS = 2500;

  /** Time for which an upstream that can't be reached gets no keys, in milliseconds. */
  private static final long SHUN_MS = 3000;

  private final RangeTiming timing;
  private final LongSupplier fences;
  private final RangePlanner planner = new RangePlanner();
  private final KeyLoadHistory loads;
  private List<RangePiece> pieces = new ArrayList<>();
  private long mapVersion;
  private final Map<RangeOwner, Long> shunned = new HashMap<>();
  private boolean writing;
  private long firstCandidateMs = Long.MIN_VALUE;

  /**
   * Creates a keeper for a map that is stored already.
   *
   * @param timing times of grants
   * @param fences source of fences, each above all that were given before
   * @param loads load of the keys
   * @param map stored map; empty for a service without one
   * @param othersHoldUntilMs until when the owners may hold keys by grants of earlier leaders
   */
  public RangeController(
      RangeTiming timing,
      LongSupplier fences,
      KeyLoadHistory loads,
      RangeMap map,
      long othersHoldUntilMs) {
    this.timing = Assert.notNull(timing, "timing");
    this.fences = Assert.notNull(fences, "fences");
    this.loads = Assert.notNull(loads, "loads");
    this.mapVersion = map.version();
    int next = 0;
    for (RangeAssignment assignment : map.assignments()) {
      if (assignment.range().first() > next) {
        pieces.add(new RangePiece(new KeyRange(next, assignment.range().first() - 1)));
      }
      pieces.add(RangePiece.owned(assignment, othersHoldUntilMs));
      next = assignment.range().last() + 1;
    }
    if (next < KeyRange.KEYS) {
      pieces.add(new RangePiece(new KeyRange(next, KeyRange.KEYS - 1)));
    }
  }

  /**
   * Decides what is due.
   *
   * @param candidates upstreams that may own keys now
   * @param mayMove whether the store takes new maps, so that keys taken back find a new owner
   * @param nowMs present time, in milliseconds
   */
  public List<RangeCommand> nextCommands(
      Collection<RangeCandidate> candidates, boolean mayMove, long nowMs) {
    Map<RangeOwner, RangeCandidate> usable = new HashMap<>();
    shunned.values().removeIf(until -> nowMs >= until);
    for (RangeCandidate candidate : candidates) {
      if (!shunned.containsKey(candidate.owner())) {
        usable.put(candidate.owner(), candidate);
      }
    }
    startMoves(usable, nowMs);
    List<RangeCommand> orders = new ArrayList<>();
    for (RangePiece piece : pieces) {
      advance(piece, nowMs, orders);
    }
    plan(usable, mayMove, nowMs);
    write(usable, nowMs, orders);
    return orders;
  }

  private void startMoves(Map<RangeOwner, RangeCandidate> usable, long nowMs) {
    if (usable.isEmpty()) {
      return;
    }
    for (RangePiece piece : pieces) {
      if (piece.isOwned() && !piece.owner().map(usable::containsKey).orElse(false)) {
        piece.beginRelease(nowMs);
      }
      if (piece.target().isPresent() && !usable.containsKey(piece.target().get())) {
        piece.setTarget(null);
      }
    }
  }

  private void advance(RangePiece piece, long nowMs, List<RangeCommand> orders) {
    if (piece.isReleasing() && piece.isHoldOver(nowMs)) {
      piece.free(Optional.empty());
    } else if (piece.isReleasing() && piece.isDue(nowMs)) {
      piece.releaseSent();
      orders.add(new RangeCommand.Release(piece.assignment(fences.getAsLong())));
    } else if (piece.isGrantDue(nowMs)) {
      piece.grantSent(timing.latestExpiryMs(nowMs + timing.callTimeoutMs()));
      orders.add(new RangeCommand.Grant(piece.assignment(), piece.handover(), piece.session()));
    }
  }

  private void plan(Map<RangeOwner, RangeCandidate> usable, boolean mayMove, long nowMs) {
    if (usable.isEmpty()) {
      return;
    }
    if (isGathering(nowMs)) {
      return;
    }
    pieces = planner.placeFree(pieces, usable.values(), loads);
    if (mayMove) {
      pieces = planner.balance(pieces, usable.values(), loads, nowMs);
    }
  }

  /** Returns whether the first upstreams are still coming: the first one must not get all keys. */
  private boolean isGathering(long nowMs) {
    if (firstCandidateMs == Long.MIN_VALUE) {
      firstCandidateMs = nowMs;
    }
    return mapVersion == 0 && nowMs - firstCandidateMs < GATHER_MS;
  }

  private void write(
      Map<RangeOwner, RangeCandidate> usable, long nowMs, List<RangeCommand> orders) {
    boolean changed =
        pieces.stream()
            .anyMatch(
                p ->
                    p.isFenceDue(nowMs)
                        || p.isFree() && p.target().map(usable::containsKey).orElse(false));
    if (writing || !changed) {
      return;
    }
    List<RangeAssignment> assignments = new ArrayList<>();
    for (RangePiece piece : pieces) {
      if (piece.isFree() && piece.target().isPresent()) {
        piece.assign(fences.getAsLong());
      } else if (piece.isFenceDue(nowMs)) {
        piece.renewFence(fences.getAsLong());
      }
      if (piece.owner().isPresent()) {
        assignments.add(piece.assignment());
      }
    }
    writing = true;
    orders.add(new RangeCommand.Write(joined(assignments), mapVersion));
  }

  /** Joins neighbours with the same owner and fence. */
  private static List<RangeAssignment> joined(List<RangeAssignment> assignments) {
    List<RangeAssignment> joined = new ArrayList<>();
    for (RangeAssignment next : assignments) {
      RangeAssignment last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
      if (last != null
          && last.owner().equals(next.owner())
          && last.fence() == next.fence()
          && last.range().last() + 1 == next.range().first()) {
        KeyRange both = new KeyRange(last.range().first(), next.range().last());
        joined.set(joined.size() - 1, new RangeAssignment(both, last.owner(), last.fence()));
      } else {
        joined.add(next);
      }
    }
    return joined;
  }

  /**
   * Takes the outcome of a grant.
   *
   * @param session connection over which it was answered
   */
  public void onGrant(
      RangeCommand.Grant order, CommandOutcome outcome, OptionalLong session, long nowMs) {
    Optional<RangePiece> found = find(order.assignment());
    if (found.isEmpty()) {
      return;
    }
    RangePiece piece = found.get();
    if (!piece.isOwned()) {
      piece.answered(nowMs);
      return;
    }
    piece.answered(
        nowMs
            + (outcome == CommandOutcome.DONE
                ? timing.renewIntervalMs()
                : timing.retryIntervalMs()));
    switch (outcome) {
      case DONE:
        piece.confirm(session);
        piece.grantHolds(timing.latestExpiryMs(nowMs));
        break;
      case FENCED:
        piece.distrust();
        break;
      case OTHER_UPSTREAM:
        shun(piece, order.assignment().owner(), nowMs);
        break;
      case UNREACHED:
        onUnreached(piece, order, nowMs);
        break;
      default:
        piece.distrust();
    }
  }

  /** A renewal without its connection needs a new fence at once; a first grant is sent again. */
  private void onUnreached(RangePiece piece, RangeCommand.Grant order, long nowMs) {
    piece.grantHolds(0);
    if (order.session().isPresent()) {
      piece.distrust();
      piece.answered(nowMs);
    } else if (piece.isHoldOver(nowMs)) {
      shun(piece, order.assignment().owner(), nowMs);
    }
  }

  private void shun(RangePiece piece, RangeOwner owner, long nowMs) {
    shunned.put(owner, nowMs + SHUN_MS);
    piece.free(Optional.empty());
  }

  /** Takes the outcome of a release. */
  public void onRelease(
      RangeCommand.Release order, CommandOutcome outcome, Optional<String> handover, long nowMs) {
    Optional<RangePiece> found = find(order.assignment());
    if (found.isEmpty()) {
      return;
    }
    RangePiece piece = found.get();
    piece.answered(nowMs + timing.retryIntervalMs());
    boolean released = outcome == CommandOutcome.DONE || outcome == CommandOutcome.OTHER_UPSTREAM;
    if (piece.isReleasing() && released) {
      piece.free(handover);
    }
  }

  /**
   * Takes the success of a write of the map. A write without answer is to be repeated as it is: its
   * first send may still be carried out.
   *
   * @param version version of the written map
   */
  public void onWritten(RangeCommand.Write order, long version, long nowMs) {
    writing = false;
    mapVersion = version;
    pieces.stream().filter(RangePiece::isWritePending).forEach(piece -> piece.written(nowMs));
  }

  private Optional<RangePiece> find(RangeAssignment assignment) {
    return pieces.stream().filter(p -> p.range().equals(assignment.range())).findFirst();
  }

  /** Returns the owners as far as they are known, in order of their keys. */
  public List<RangeAssignment> assignments() {
    List<RangeAssignment> assignments = new ArrayList<>();
    pieces.stream()
        .filter(RangePiece::isOwned)
        .sorted(Comparator.comparingInt(p -> p.range().first()))
        .forEach(p -> assignments.add(p.assignment()));
    return assignments;
  }
}
