package org.foxtailford.core.ownership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.foxtailford.core.placement.PlacementPlan;
import org.foxtailford.core.placement.SliceMerge;
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.placement.SliceSplit;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.core.slice.SliceRange;

/**
 * Applies a placement plan to the slices of a term.
 *
 * <p>A change to a slice that no longer exists or is being moved is skipped; the next plan may
 * include it again. Parts of a split keep owner and fence. Slices are merged only if they have the
 * same owner, and get a new fence. Not thread-safe.
 */
final class PlanExecution {

  private final LeaderTerm term;
  private final String service;
  private final Set<SliceRange> orphaned;
  private final Predicate<SliceRange> mergeable;

  /**
   * Creates an execution.
   *
   * @param term the term whose slices change
   * @param service service that the plan is for
   * @param orphaned ranges of slices without an owner, current or next, that may have them
   * @param mergeable returns whether slices may be merged into a range
   */
  PlanExecution(
      LeaderTerm term, String service, Set<SliceRange> orphaned, Predicate<SliceRange> mergeable) {
    this.term = term;
    this.service = service;
    this.orphaned = orphaned;
    this.mergeable = mergeable;
  }

  /** Applies the whole plan: merges, then splits, then moves. */
  void applyAll(PlacementPlan plan) {
    plan.merges().forEach(this::merge);
    plan.splits().forEach(this::split);
    plan.moves().forEach(this::move);
  }

  /** Applies only the moves of orphaned slices. */
  void applyToOrphaned(PlacementPlan plan) {
    plan.moves().stream().filter(move -> orphaned.contains(move.range())).forEach(this::move);
  }

  private Optional<SliceState> find(SliceRange range) {
    return term.slices().find(new SliceKey(service, range));
  }

  private Optional<SliceState> findSettled(SliceRange range) {
    return find(range)
        .filter(state -> state.assignment().isPresent())
        .filter(state -> !state.isReleasePending());
  }

  private void merge(SliceMerge merge) {
    List<SliceState> parts =
        merge.parts().stream().flatMap(range -> findSettled(range).stream()).toList();
    boolean settled = parts.size() == merge.parts().size();
    boolean oneOwner = parts.stream().map(SliceState::owner).distinct().count() == 1;
    if (settled && oneOwner && mergeable.test(merge.whole())) {
      term.merge(parts, merge.whole());
    }
  }

  private void split(SliceSplit split) {
    findSettled(split.range()).ifPresent(state -> term.split(state, split.parts()));
  }

  private void move(SliceMove move) {
    find(move.range()).ifPresent(state -> move(state, move.target()));
  }

  private void move(SliceState state, String target) {
    if (state.assignment().isEmpty()) {
      term.assign(state, target);
    } else if (!state.isReleasePending() || orphaned.contains(state.key().range())) {
      state.setNextOwner(target);
    }
  }
}
