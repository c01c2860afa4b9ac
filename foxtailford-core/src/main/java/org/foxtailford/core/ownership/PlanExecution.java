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
 * Carries out a plan on the slices of a term.
 *
 * <p>A change that names a slice which is not there any more, or one that is being moved, is left
 * out; the next plan may bring it again. Parts of a split keep owner and fence. Slices are merged
 * only within one owner, under a new fence. Not thread-safe.
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
   * @param service service of the plan
   * @param orphaned slices whose owner, present or next, may not have them
   * @param mergeable tells whether slices may be merged to a range
   */
  PlanExecution(
      LeaderTerm term, String service, Set<SliceRange> orphaned, Predicate<SliceRange> mergeable) {
    this.term = term;
    this.service = service;
    this.orphaned = orphaned;
    this.mergeable = mergeable;
  }

  /** Carries out the whole plan: merges, then splits, then moves. */
  void applyAll(PlacementPlan plan) {
    plan.merges().forEach(this::merge);
    plan.splits().forEach(this::split);
    plan.moves().forEach(this::move);
  }

  /** Carries out only the moves of slices whose owner may not have them. */
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
