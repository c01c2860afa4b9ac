package org.foxtailford.benchmarks.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.foxtailford.core.load.HotKeySketch;
import org.foxtailford.core.load.SliceLoadAggregator;
import org.foxtailford.core.load.SliceLoadRecorder;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPlan;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.placement.PlacementRound;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.placement.SliceMove;
import org.foxtailford.core.placement.UpstreamCapacity;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.KeyLoadValue;
import org.foxtailford.schema.LoadReport;
import org.foxtailford.schema.ServiceLoadValue;
import org.jspecify.annotations.Nullable;

/**
 * One policy under one generated workload, in steps of a second. Reports are sampled counts that
 * arrive late; imbalance is that of the real load. Not thread-safe.
 */
final class PlacementSimulation {

  private static final String SERVICE = "service";
  private static final int SLICES_PER_UPSTREAM = 16;
  private static final int ENTRY_VMS = 4;
  private static final int REPORT_INTERVAL_S = 2;
  private static final int WARM_UP_S = 120;
  private static final int SHIFT_INTERVAL_S = 180;
  private static final int LEAVE_AT_S = 90;
  private static final int LEAVE_INTERVAL_S = 360;
  private static final int ABSENCE_S = 180;
  private static final double MS_PER_S = 1000;

  private final PlacementPolicy policy;
  private final KeyWorkload workload;
  private final PlacementMeasures measures;
  private final SplittableRandom random;
  private final SliceLoadAggregator book;
  private final Map<String, UpstreamCapacity> upstreams = new TreeMap<>();
  private final Map<SliceRange, String> owners = new HashMap<>();
  private final Deque<List<LoadReport>> underway = new ArrayDeque<>();
  private SliceLayout layout;
  private @Nullable String absent;
  private int nowS;
  private int departures;
  private long sequence;

  PlacementSimulation(
      PlacementPolicy policy,
      KeyWorkload workload,
      int upstreamCount,
      PlacementMeasures measures,
      SplittableRandom random) {
    this.policy = policy;
    this.workload = workload;
    this.measures = measures;
    this.random = random;
    for (int i = 0; i < upstreamCount; i++) {
      String name = String.format("up-%04d", i);
      upstreams.put(name, UpstreamCapacity.accepting(name));
    }
    layout = new SliceLayout(SliceRange.divide(upstreamCount * SLICES_PER_UPSTREAM));
    book =
        new SliceLoadAggregator(() -> (long) (nowS * MS_PER_S), SliceLoadAggregator.HALF_LIFE_MS);
    book.useLayout(SERVICE, layout);
  }

  /** Runs for so many minutes after the warm-up. */
  void run(int minutes) {
    int endS = WARM_UP_S + minutes * 60;
    for (nowS = 0; nowS < endS; nowS++) {
      if (nowS >= WARM_UP_S) {
        events(nowS - WARM_UP_S);
      }
      sendReports();
      round();
      if (nowS >= WARM_UP_S) {
        measures.second(imbalance());
      }
    }
    measures.end();
  }

  private void events(int elapsedS) {
    if (elapsedS % SHIFT_INTERVAL_S == 0) {
      workload.changeHottestKeys();
      measures.event(leastLoadToMove());
    }
    int cycleS = elapsedS % LEAVE_INTERVAL_S;
    if (cycleS == LEAVE_AT_S) {
      depart();
    } else if (absent != null && cycleS == (LEAVE_AT_S + ABSENCE_S) % LEAVE_INTERVAL_S) {
      upstreams.put(absent, UpstreamCapacity.accepting(absent));
      absent = null;
      measures.event(leastLoadToMove());
    }
  }

  private void depart() {
    List<String> names = List.copyOf(upstreams.keySet());
    absent = names.get(random.nextInt(names.size()));
    boolean lost = departures++ % 2 == 0;
    if (lost) {
      upstreams.remove(absent);
    } else {
      upstreams.put(absent, new UpstreamCapacity(absent, 1, false, false));
    }
    measures.event(leastLoadToMove());
  }

  /** Sums the load above the target on each upstream, and all load of those that are leaving. */
  private double leastLoadToMove() {
    Map<String, Double> loads = realLoads();
    double target = PlacementMeasures.TARGET_IMBALANCE * workload.totalRate() / acceptingCount();
    double least = 0;
    for (Map.Entry<String, Double> entry : loads.entrySet()) {
      double excess = entry.getValue() - target;
      least += isAccepting(entry.getKey()) ? Math.max(0, excess) : entry.getValue();
    }
    return least / workload.totalRate();
  }

  private boolean isAccepting(String name) {
    UpstreamCapacity upstream = upstreams.get(name);
    return upstream != null && upstream.accepting();
  }

  private long acceptingCount() {
    return upstreams.values().stream().filter(UpstreamCapacity::accepting).count();
  }

  private Map<String, Double> realLoads() {
    Map<String, Double> loads = new HashMap<>();
    owners.forEach((range, owner) -> loads.merge(owner, workload.rate(range), Double::sum));
    return loads;
  }

  private double imbalance() {
    double most = realLoads().values().stream().mapToDouble(d -> d).max().orElse(0);
    return most * acceptingCount() / workload.totalRate();
  }

  private void sendReports() {
    if (nowS % REPORT_INTERVAL_S != 0) {
      return;
    }
    while (!underway.isEmpty()) {
      underway.removeFirst().forEach(book::accept);
    }
    sequence++;
    List<LoadReport> reports = new ArrayList<>();
    for (int i = 0; i < ENTRY_VMS; i++) {
      reports.add(report("entry-" + i));
    }
    underway.addLast(reports);
  }

  private LoadReport report(String vm) {
    ServiceLoadValue.Builder value =
        ServiceLoadValue.newBuilder().setService(SERVICE).setLayout(layout.fingerprint());
    layout.ranges().forEach(range -> value.addRequests(sample(workload.rate(range))));
    double leastRate = workload.totalRate() * HotKeySketch.MAX_ERROR_SHARE;
    for (KeyLoad key : workload.hottest(SliceLoadRecorder.HOT_KEYS_PER_REPORT, leastRate)) {
      value.addHotKeys(
          KeyLoadValue.newBuilder().setKeyHash(key.keyHash()).setRequests(sample(key.rate())));
    }
    return LoadReport.newBuilder()
        .setVm(vm)
        .setBootId(1)
        .setSequence(sequence)
        .addServices(value)
        .build();
  }

  /** Draws how many requests one entry VM sees in an interval. */
  private int sample(double rate) {
    double expected = rate * REPORT_INTERVAL_S / ENTRY_VMS;
    double drawn = expected + Math.sqrt(expected) * random.nextGaussian();
    return (int) Math.max(0, Math.round(drawn));
  }

  private void round() {
    double[] rates = book.rates(SERVICE);
    List<PlacedSlice> slices = new ArrayList<>();
    for (int i = 0; i < layout.size(); i++) {
      SliceRange range = layout.ranges().get(i);
      slices.add(new PlacedSlice(range, Optional.ofNullable(owners.get(range)), rates[i]));
    }
    List<KeyLoad> hotKeys = book.hotKeys(SERVICE);
    long startNs = System.nanoTime();
    PlacementPlan plan =
        policy.planRound(new PlacementRound(slices, List.copyOf(upstreams.values()), hotKeys));
    recordRound(System.nanoTime() - startNs);
    changeLayout(plan);
    plan.moves().forEach(this::apply);
  }

  private void recordRound(long nanos) {
    if (nowS >= WARM_UP_S) {
      measures.round(nanos);
    }
  }

  private void changeLayout(PlacementPlan plan) {
    if (plan.merges().isEmpty() && plan.splits().isEmpty()) {
      return;
    }
    SliceLayout before = layout;
    layout = before.apply(plan.merges(), plan.splits());
    Map<SliceRange, String> ownersBefore = Map.copyOf(owners);
    owners.clear();
    for (SliceRange range : layout.ranges()) {
      SliceRange old = before.ranges().get(before.indexOf(range.first()));
      String owner = ownersBefore.get(old);
      if (owner != null) {
        owners.put(range, owner);
      }
    }
    book.useLayout(SERVICE, layout);
  }

  private void apply(SliceMove move) {
    String before = owners.put(move.range(), move.target());
    if (before != null && nowS >= WARM_UP_S) {
      double loadShare = workload.rate(move.range()) / workload.totalRate();
      measures.moved(move.range().share(), loadShare, !upstreams.containsKey(before));
    }
  }
}
