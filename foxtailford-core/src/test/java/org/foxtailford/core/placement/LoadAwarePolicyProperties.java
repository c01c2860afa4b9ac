package org.foxtailford.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.slice.SliceRange;

class LoadAwarePolicyProperties {

  private static final int MAX_ROUNDS = 400;

  private final LoadAwarePolicy policy = new LoadAwarePolicy();

  @Property(seed = "21", tries = 500)
  void neverAssignsToUpstreamThatAcceptsNoSlices(@ForAll Random random) {
    PlacementRound round = randomRound(random);
    Set<String> accepting = Set.copyOf(round.acceptingNames());
    assertThat(policy.planRound(round).moves()).allMatch(move -> accepting.contains(move.target()));
  }

  @Property(seed = "22", tries = 500)
  void layoutRemainsPartitionAndMovesReferToItsSlices(@ForAll Random random) {
    PlacementRound round = randomRound(random);
    PlacementPlan plan = policy.planRound(round);
    SliceLayout after = layout(round).apply(plan.merges(), plan.splits());
    SliceLayoutProperties.assertPartition(after);
    assertThat(after.ranges()).containsAll(plan.moves().stream().map(SliceMove::range).toList());
  }

  @Property(seed = "23", tries = 500)
  void allUnownedSlicesAreAssignedAndOtherMovesAreBounded(@ForAll Random random) {
    PlacementRound round = randomRound(random);
    Set<String> names =
        round.upstreams().stream().map(UpstreamCapacity::name).collect(Collectors.toSet());
    long unowned =
        round.slices().stream().filter(s -> s.owner().filter(names::contains).isEmpty()).count();
    PlacementLimits limits = PlacementLimits.forUpstreams(names.size());
    int moves = policy.planRound(round).moves().size();
    if (round.acceptingNames().isEmpty()) {
      assertThat(moves).isZero();
    } else {
      long bound = unowned + limits.maxMoves() + limits.maxDrainMoves();
      assertThat((long) moves).isBetween(unowned, bound);
    }
  }

  @Property(seed = "24", tries = 500)
  void imbalanceBelowTriggerCausesNoMovesRegardlessOfOverloadReports(@ForAll Random random) {
    int count = 2 + random.nextInt(30);
    List<UpstreamCapacity> upstreams = new ArrayList<>();
    List<PlacedSlice> slices = new ArrayList<>();
    List<SliceRange> ranges = SliceRange.divide(count * 8);
    for (int i = 0; i < count; i++) {
      upstreams.add(new UpstreamCapacity(name(i), 1, true, random.nextBoolean()));
      for (int j = 0; j < 8; j++) {
        double load = 1000 * (0.93 + 0.14 * random.nextDouble());
        slices.add(new PlacedSlice(ranges.get(i * 8 + j), Optional.of(name(i)), load));
      }
    }
    PlacementPlan plan = policy.planRound(new PlacementRound(slices, upstreams, List.of()));
    assertThat(plan).isEqualTo(PlacementPlan.NONE);
  }

  @Property(seed = "27", tries = 200)
  void samplingErrorCausesNoMovesAtAnyRequestRate(@ForAll Random random) {
    int count = 2 + random.nextInt(30);
    double rate = 2 + 30 * random.nextDouble();
    double errorPerSlice = Math.sqrt(rate / 8 * Math.log(2) / 10);
    List<PlacedSlice> slices = new ArrayList<>();
    List<SliceRange> ranges = SliceRange.divide(count * 8);
    for (int i = 0; i < ranges.size(); i++) {
      double load = Math.max(0, rate / 8 + errorPerSlice * random.nextGaussian());
      slices.add(new PlacedSlice(ranges.get(i), Optional.of(name(i % count)), load));
    }
    List<String> names =
        IntStream.range(0, count).mapToObj(LoadAwarePolicyProperties::name).toList();
    assertThat(policy.plan(slices, names)).isEmpty();
  }

  @Property(seed = "25", tries = 100)
  void equalRoundsYieldEqualPlans(@ForAll Random random) {
    PlacementRound round = randomRound(random);
    assertThat(policy.planRound(round)).isEqualTo(new LoadAwarePolicy().planRound(round));
  }

  @Property(seed = "26", tries = 100)
  void constantLoadConvergesToBalanceWithoutFurtherMoves(@ForAll Random random) {
    PlacementRound round = randomRound(random);
    if (round.acceptingNames().isEmpty()) {
      return;
    }
    boolean converged = false;
    for (int i = 0; i < MAX_ROUNDS && !converged; i++) {
      PlacementPlan plan = policy.planRound(round);
      converged = plan.equals(PlacementPlan.NONE);
      round = after(round, plan);
    }
    assertThat(converged).isTrue();
    assertThat(maxExcess(round)).isLessThanOrEqualTo(1e-6);
  }

  /**
   * Returns the maximum load of an upstream in excess of the allowed load: 1.2 times its share by
   * weight or, if greater, 1.05 times its heaviest slice of a single key.
   */
  private static double maxExcess(PlacementRound round) {
    Map<String, Double> loads = new HashMap<>();
    Map<String, Double> heaviest = new HashMap<>();
    for (PlacedSlice slice : round.slices()) {
      String owner = slice.owner().orElseThrow();
      loads.merge(owner, slice.load(), Double::sum);
      if (slice.range().first() == slice.range().last()) {
        heaviest.merge(owner, slice.load(), Math::max);
      }
    }
    double total = loads.values().stream().mapToDouble(d -> d).sum();
    double weight =
        round.upstreams().stream()
            .filter(UpstreamCapacity::accepting)
            .mapToDouble(UpstreamCapacity::weight)
            .sum();
    double highestExcess = 0;
    for (UpstreamCapacity upstream : round.upstreams()) {
      double share = 1.2 * total / weight * upstream.weight();
      double allowed = Math.max(share, heaviest.getOrDefault(upstream.name(), 0.0) * 1.05);
      highestExcess = Math.max(highestExcess, loads.getOrDefault(upstream.name(), 0.0) - allowed);
    }
    return highestExcess;
  }

  private static PlacementRound after(PlacementRound round, PlacementPlan plan) {
    SliceLayout before = layout(round);
    SliceLayout after = before.apply(plan.merges(), plan.splits());
    double[] loads = round.slices().stream().mapToDouble(PlacedSlice::load).toArray();
    double[] projected = before.project(loads, after, round.hotKeys());
    Map<SliceRange, String> targets =
        plan.moves().stream().collect(Collectors.toMap(SliceMove::range, SliceMove::target));
    List<PlacedSlice> slices = new ArrayList<>();
    for (int i = 0; i < after.size(); i++) {
      SliceRange range = after.ranges().get(i);
      Optional<String> owner =
          Optional.ofNullable(targets.get(range))
              .or(() -> round.slices().get(before.indexOf(range.first())).owner());
      slices.add(new PlacedSlice(range, owner, projected[i]));
    }
    return new PlacementRound(slices, round.upstreams(), round.hotKeys());
  }

  private static SliceLayout layout(PlacementRound round) {
    return new SliceLayout(round.slices().stream().map(PlacedSlice::range).toList());
  }

  private static PlacementRound randomRound(Random random) {
    int count = 1 + random.nextInt(25);
    List<UpstreamCapacity> upstreams = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      double weight = random.nextInt(4) == 0 ? 2 : 1;
      boolean accepting = random.nextInt(6) > 0;
      upstreams.add(new UpstreamCapacity(name(i), weight, accepting, random.nextInt(5) == 0));
    }
    SliceLayout layout = new SliceLayout(SliceRange.divide(count * (1 + random.nextInt(16))));
    double[] loads = new double[layout.size()];
    for (int i = 0; i < loads.length; i++) {
      loads[i] = 100 * random.nextDouble();
    }
    List<KeyLoad> hotKeys = new ArrayList<>();
    for (int i = random.nextInt(10); i > 0; i--) {
      KeyLoad key = new KeyLoad(random.nextLong(), 1000 * random.nextDouble());
      hotKeys.add(key);
      loads[layout.indexOf(key.keyHash())] += key.rate();
    }
    List<PlacedSlice> slices = new ArrayList<>();
    for (int i = 0; i < loads.length; i++) {
      Optional<String> owner =
          random.nextInt(10) == 0 ? Optional.empty() : Optional.of(name(random.nextInt(count + 1)));
      slices.add(new PlacedSlice(layout.ranges().get(i), owner, loads[i]));
    }
    return new PlacementRound(slices, upstreams, hotKeys);
  }

  private static String name(int i) {
    return String.format("up-%04d", i);
  }
}
