package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.util.Assert;

/** Moves slices without need while a condition holds, so that schedules hold many moves. */
final class RestlessPolicy implements PlacementPolicy {

  private static final int ROUNDS_PER_MOVE = 2;

  private final PlacementPolicy calm = new EvenCountPolicy(1);
  private final RandomGenerator random;
  private final BooleanSupplier restless;

  RestlessPolicy(RandomGenerator random, BooleanSupplier restless) {
    this.random = Assert.notNull(random, "random");
    this.restless = Assert.notNull(restless, "restless");
  }

  @Override
  public List<SliceMove> plan(List<PlacedSlice> slices, List<String> upstreams) {
    List<SliceMove> moves = new ArrayList<>(calm.plan(slices, upstreams));
    boolean due = restless.getAsBoolean() && random.nextInt(ROUNDS_PER_MOVE) == 0;
    if (due && !slices.isEmpty() && !upstreams.isEmpty()) {
      PlacedSlice slice = slices.get(random.nextInt(slices.size()));
      String target = upstreams.get(random.nextInt(upstreams.size()));
      boolean planned = moves.stream().anyMatch(move -> move.range().equals(slice.range()));
      if (!planned && !slice.owner().filter(target::equals).isPresent()) {
        moves.add(new SliceMove(slice.range(), target));
      }
    }
    return moves;
  }
}
