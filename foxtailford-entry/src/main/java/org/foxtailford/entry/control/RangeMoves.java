package org.foxtailford.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.range.RangeAssignment;

/** Ranges that the leader is taking away from their owners. Confined to the event loop. */
final class RangeMoves {

  /**
   * Time for which a move is believed to go on if no newer map comes, in milliseconds; requests do
   * not wait for longer.
   */
  private static final long MAX_MOVE_MS = 1200;

  /** Range that the leader takes away from its owner; later assignments have a higher fence. */
  private record Move(KeyRange range, long fence, long untilMs) {}

  private final Map<String, List<Move>> moves = new HashMap<>();

  /** Records that the leader has begun to take ranges away from their owners. */
  void record(String service, List<RangeAssignment> ranges, long nowMs) {
    List<Move> current = moves.computeIfAbsent(service, name -> new ArrayList<>());
    current.removeIf(move -> nowMs >= move.untilMs());
    ranges.forEach(
        range -> current.add(new Move(range.range(), range.fence(), nowMs + MAX_MOVE_MS)));
  }

  /** Returns whether a key is being moved away from the owner that has it under a fence. */
  boolean contains(String service, int key, long fence, long nowMs) {
    for (Move move : moves.getOrDefault(service, List.of())) {
      if (move.range().first() <= key
          && key <= move.range().last()
          && nowMs < move.untilMs()
          && fence < move.fence()) {
        return true;
      }
    }
    return false;
  }
}
