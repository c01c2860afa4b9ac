package org.foxtailford.benchmarks.capacity;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.foxtailford.benchmarks.capacity.LinearFit.Point;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.load.HotKeySketch;
import org.foxtailford.core.load.SliceLoadRecorder;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.placement.LoadAwarePolicy;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementRound;
import org.foxtailford.core.placement.SliceLayout;
import org.foxtailford.core.placement.UpstreamCapacity;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.slice.KeyHashing;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.OwnershipCheckpoint;

/** Measures how cost grows with size, on this machine. */
final class Slopes {

  static final int SLICES_PER_UPSTREAM = 16;
  private static final int[] UPSTREAMS = {50, 200, 400, 1500};
  private static final int[] FLEET = {20, 200, 750, 1500};
  private static final int[] SLICES = {1_000, 8_000, 24_000, 48_000};
  private static final int[] VMS = {500, 1_000, 2_000, 4_100};
  private static final int[] KEYS_SEEN = {100_000, 1_000_000, 4_000_000};
  private static final int REPEATS = 15;
  private static final int KEYS = 4096;
  private static final int DECISIONS = 50_000;
  private static final int HEAP_COPIES = 4;
  private static final double NS_PER_US = 1000;

  private Slopes() {}

  private static Measurement measure(
      String quantity, String sizeName, int[] sizes, IntToDoubleFunction value) {
    List<Point> points = new ArrayList<>();
    value.applyAsDouble(sizes[0]);
    for (int size : sizes) {
      points.add(new Point(size, value.applyAsDouble(size)));
    }
    return Measurement.of(quantity, sizeName, points);
  }

  /** Returns the median time of a step, in nanoseconds. */
  private static double medianNs(Runnable step) {
    long[] times = new long[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      long startNs = System.nanoTime();
      step.run();
      times[i] = System.nanoTime() - startNs;
    }
    Arrays.sort(times);
    return times[REPEATS / 2];
  }

  /** Returns the heap that one object takes, in bytes. */
  private static double heapBytes(Supplier<Object> factory) {
    Object[] kept = new Object[HEAP_COPIES];
    long before = usedBytes();
    for (int i = 0; i < HEAP_COPIES; i++) {
      kept[i] = factory.get();
    }
    double grown = usedBytes() - before;
    return kept[0] == null ? 0 : grown / HEAP_COPIES;
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Returns the leader's round by slices, at a fixed number of slices an upstream. */
  static Measurement leaderRoundUs() {
    List<Point> points = new ArrayList<>();
    for (int upstreams : UPSTREAMS) {
      int slices = upstreams * SLICES_PER_UPSTREAM;
      LeaderFixture fixture = new LeaderFixture(upstreams, slices);
      points.add(new Point(slices, medianNs(fixture::round) / NS_PER_US));
    }
    return Measurement.of("leader's renewal round, us", "slices", points);
  }

  static Measurement grantBytes() {
    return measure(
        "grant to one upstream, bytes",
        "slices of the upstream",
        new int[] {4, 16, 64},
        slices -> new LeaderFixture(4, 4 * slices).bytesPerGrantAfterRound());
  }

  static Measurement placementRoundUs() {
    return measure(
        "placement round without a shift, us",
        "upstreams",
        FLEET,
        upstreams -> {
          PlacementRound round = balancedRound(upstreams);
          LoadAwarePolicy policy = new LoadAwarePolicy();
          return medianNs(() -> policy.planRound(round)) / NS_PER_US;
        });
  }

  static PlacementRound balancedRound(int upstreams) {
    SplittableRandom random = new SplittableRandom(1);
    List<SliceRange> ranges = SliceRange.divide(upstreams * SLICES_PER_UPSTREAM);
    List<PlacedSlice> slices = new ArrayList<>();
    for (int i = 0; i < ranges.size(); i++) {
      Optional<String> owner = Optional.of(Fleets.upstream(i % upstreams));
      slices.add(new PlacedSlice(ranges.get(i), owner, 100 + 20 * random.nextDouble()));
    }
    List<UpstreamCapacity> capacities =
        IntStream.range(0, upstreams)
            .mapToObj(i -> UpstreamCapacity.accepting(Fleets.upstream(i)))
            .toList();
    return new PlacementRound(slices, capacities, List.of());
  }

  private static OwnershipCheckpoint checkpoint(int slices) {
    return Fleets.checkpoint(slices / SLICES_PER_UPSTREAM, slices);
  }

  static Measurement checkpointBytes() {
    return measure(
        "ownership map, bytes", "slices", SLICES, slices -> checkpoint(slices).getSerializedSize());
  }

  static Measurement mapApplyUs() {
    return measure(
        "parse and apply an ownership map, us",
        "slices",
        SLICES,
        slices -> {
          ByteString bytes = checkpoint(slices).toByteString();
          return medianNs(() -> OwnershipMap.of(parseCheckpoint(bytes))) / NS_PER_US;
        });
  }

  static Measurement mapHeapBytes() {
    return measure(
        "ownership map, heap bytes",
        "slices",
        SLICES,
        slices -> {
          ByteString bytes = checkpoint(slices).toByteString();
          return heapBytes(() -> OwnershipMap.of(parseCheckpoint(bytes)));
        });
  }

  static Measurement loadReportBytes() {
    return measure(
        "load report, bytes",
        "slices",
        SLICES,
        slices -> {
          SliceLoadRecorder recorder = new SliceLoadRecorder("entry", 1);
          recorder.useLayout(Fleets.SERVICE, new SliceLayout(SliceRange.divide(slices)));
          SplittableRandom random = new SplittableRandom(1);
          for (int i = 0; i < slices; i++) {
            recorder.record(Fleets.SERVICE, random.nextLong());
          }
          return recorder.report().getSerializedSize();
        });
  }

  static Measurement hotKeyHeapBytes() {
    return measure(
        "hot-key sketch, heap bytes",
        "keys seen",
        KEYS_SEEN,
        keys ->
            heapBytes(
                () -> {
                  HotKeySketch sketch = new HotKeySketch(1, 0);
                  SplittableRandom random = new SplittableRandom(1);
                  for (int i = 0; i < keys; i++) {
                    sketch.record(random.nextLong(), 1, 0);
                  }
                  return sketch;
                }));
  }

  static Measurement decideNsBySlices() {
    return measure(
        "routing decision of a keyed request, ns",
        "slices, 20 upstreams",
        SLICES,
        slices -> decideNs(20, slices));
  }

  static Measurement decideNsByUpstreams() {
    return measure(
        "routing decision of a keyed request, ns",
        "upstreams of the service, 24,000 slices",
        FLEET,
        upstreams -> decideNs(upstreams, 24_000));
  }

  private static double decideNs(int upstreams, int slices) {
    RoutingSnapshot snapshot =
        RoutingSnapshot.initial(Fleets.DATA_CENTRE)
            .withConfiguration(Fleets.configuration(upstreams, slices))
            .withHomes(
                HomeDirectory.of(
                    List.of(
                        HomeDirectory.initial(
                            Fleets.SERVICE, slices, List.of(Fleets.DATA_CENTRE)))))
            .withOwners(OwnershipMap.of(Fleets.checkpoint(upstreams, slices)));
    RequestRouter router =
        new RequestRouter(new TwoChoicesChooser(new Random(1)), new ServiceLoads(() -> 1));
    List<RequestAttributes> requests =
        IntStream.range(0, KEYS)
            .mapToObj(i -> Fleets.request("key-" + KeyHashing.hash("" + i)))
            .toList();
    int[] owned = new int[1];
    double batchNs =
        medianNs(
            () -> {
              for (int i = 0; i < DECISIONS; i++) {
                RouteDecision decision =
                    router.decide(requests.get(i % KEYS), snapshot, Set.of(), 0);
                owned[0] += decision instanceof RouteDecision.ToOwner ? 1 : 0;
              }
            });
    if (owned[0] != DECISIONS * REPEATS) {
      throw new IllegalStateException("a request had no owner");
    }
    return batchNs / DECISIONS;
  }

  static Measurement documentBytes() {
    return measure(
        "configuration document, bytes",
        "labelled VMs",
        VMS,
        vms -> Fleets.document(vms, 1).getSerializedSize());
  }

  static Measurement vmListBytes() {
    return measure(
        "VM list, bytes (protobuf)", "VMs", VMS, vms -> Fleets.vmList(vms).getSerializedSize());
  }

  static Measurement documentApplyUs() {
    return measure(
        "parse a configuration and join it with the VM list, us",
        "labelled VMs",
        VMS,
        vms -> {
          ByteString bytes = Fleets.document(vms, 1).toByteString();
          return medianNs(() -> view(bytes, vms)) / NS_PER_US;
        });
  }

  static Measurement viewHeapBytes() {
    return measure(
        "configuration joined with the VM list, heap bytes",
        "VMs",
        VMS,
        vms -> {
          ByteString bytes = Fleets.document(vms, 1).toByteString();
          return heapBytes(() -> view(bytes, vms));
        });
  }

  private static ConfigurationView view(ByteString bytes, int vms) {
    try {
      ConfigurationDocument document = ConfigurationDocument.parseFrom(bytes);
      return ConfigurationView.of(1, document, Fleets.vmList(vms));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private static OwnershipCheckpoint parseCheckpoint(ByteString bytes) {
    try {
      return OwnershipCheckpoint.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }
}
