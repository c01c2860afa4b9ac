package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;

/** Data centres with candidates for their leadership, upstreams and the platform's table. */
public final class OwnershipSystem {

  static final String DATA_CENTRE = SystemLayout.ONLY_DATA_CENTRE;
  static final String SERVICE = SimulatedServices.KEYED;

  private static final int CHECKED_PARTS_OF_A_SLICE = 8;
  private static final long MAX_CLOCK_ORIGIN_MS = 1_000_000;
  private static final int MAX_CLOCK_RATE_PPM = 4_900;

  private final EventQueue queue = new EventQueue();
  private final SimulationVariant variant;
  private final RandomGenerator random;
  private final SimulatedNetwork network;
  private final SimulatedTable table;
  private final Map<String, SimulatedUpstream> upstreams = new LinkedHashMap<>();
  private final List<SimulatedCandidate> candidates = new ArrayList<>();
  private final OwnershipChecker checker;
  private final ConfigurationCheck configurations = new ConfigurationCheck();
  private final SystemLayout layout;
  private ConfigurationView configuration;
  private HomeDirectory homes;
  private final PlacementPolicy policy;
  private long restlessUntilMs;
  private long writeIds;

  /**
   * Creates a system.
   *
   * @param candidateCount entry VMs that may lead
   * @param upstreamCount upstreams of the keyed service
   * @param slices slices of the keyed service
   * @param random source of clock rates, delays and losses
   * @param variant rules that this run changes
   * @param trace receives what happens
   */
  OwnershipSystem(
      int candidateCount,
      int upstreamCount,
      int slices,
      RandomGenerator random,
      SimulationVariant variant,
      Trace trace) {
    this(SystemLayout.oneDataCentre(candidateCount, upstreamCount, slices), random, variant, trace);
  }

  /**
   * Creates a system.
   *
   * @param layout its places
   * @param random source of clock rates, delays and losses
   * @param variant rules that this run changes
   * @param trace receives what happens
   */
  OwnershipSystem(
      SystemLayout layout, RandomGenerator random, SimulationVariant variant, Trace trace) {
    this.layout = Assert.notNull(layout, "layout");
    this.random = Assert.notNull(random, "random");
    this.variant = Assert.notNull(variant, "variant");
    network = new SimulatedNetwork(queue, random);
    table = new SimulatedTable(network);
    PlacementPolicy restless = new RestlessPolicy(random, () -> queue.nowMs() < restlessUntilMs);
    policy =
        variant.changesLayouts()
            ? new LayoutChangingPolicy(
                restless, random, layout.slices(), () -> queue.nowMs() < restlessUntilMs)
            : restless;
    configuration = SimulatedServices.view(layout);
    HomeRanges initial = HomeDirectory.initial(SERVICE, layout.slices(), layout.dataCentres());
    homes = HomeDirectory.of(List.of(initial));
    for (int i = 0; i < layout.upstreams(); i++) {
      String name = "upstream-" + i;
      String dataCentre = layout.dataCentreOf(i);
      upstreams.put(name, new SimulatedUpstream(name, dataCentre, i, newClock(), variant));
    }
    int checked =
        variant.changesLayouts() ? layout.slices() * CHECKED_PARTS_OF_A_SLICE : layout.slices();
    checker = new OwnershipChecker(queue, List.copyOf(upstreams.values()), checked, trace);
    for (int i = 0; i < layout.entryVms(); i++) {
      String name = "entry-" + i;
      candidates.add(new SimulatedCandidate(name, layout.dataCentreOf(i), this, newClock()));
    }
    if (layout.readsPlatform()) {
      table.fill(SimulatedServices.configuration(layout.slices()), initial);
      table.setVms(SimulatedServices.vms(layout));
    }
  }

  private SkewedClock newClock() {
    long ratePpm = random.nextBoolean() ? MAX_CLOCK_RATE_PPM : -MAX_CLOCK_RATE_PPM;
    return new SkewedClock(queue, 1 + random.nextLong(MAX_CLOCK_ORIGIN_MS), ratePpm);
  }

  /** Starts all candidates, out of phase. */
  void begin() {
    candidates.forEach(c -> c.begin(random.nextInt(variant.timing().renewIntervalMs())));
  }

  /** Lets leaders move slices without need up to a true time. */
  void setRestlessUntil(long ms) {
    restlessUntilMs = ms;
  }

  PlacementPolicy policy() {
    return policy;
  }

  EventQueue queue() {
    return queue;
  }

  SimulatedNetwork network() {
    return network;
  }

  SimulatedTable table() {
    return table;
  }

  SimulationVariant variant() {
    return variant;
  }

  OwnershipChecker checker() {
    return checker;
  }

  SystemLayout layout() {
    return layout;
  }

  ConfigurationCheck configurations() {
    return configurations;
  }

  ConfigurationView configuration() {
    return configuration;
  }

  HomeDirectory homes() {
    return homes;
  }

  /** Returns the data centre that is home to a key by the table. */
  Optional<String> presentHome(long keyHash) {
    HomeDirectory present = layout.readsPlatform() ? table.homes() : homes;
    return present.home(SERVICE, keyHash);
  }

  /** Changes the homes that all candidates see. */
  void setHomes(HomeDirectory value) {
    homes = value;
  }

  /** Divides the hash space of the service anew. */
  void setSlices(int slices) {
    configuration = SimulatedServices.view(layout.withSlices(slices));
  }

  List<SimulatedCandidate> candidates() {
    return candidates;
  }

  /** Returns the entry VMs of one data centre. */
  List<SimulatedCandidate> candidates(String dataCentre) {
    return candidates.stream().filter(c -> c.dataCentre().equals(dataCentre)).toList();
  }

  List<SimulatedUpstream> upstreams() {
    return List.copyOf(upstreams.values());
  }

  SimulatedUpstream upstream(String name) {
    return Assert.notNull(upstreams.get(name), name);
  }

  long nextWriteId() {
    return ++writeIds;
  }
}
