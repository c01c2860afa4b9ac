package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.GrantedSlice;

/**
 * Checks by true time that no key has two owners and that no accepted assignment is lost.
 *
 * <p>An assignment that an upstream accepted ends by an order without it, by a restart of the
 * upstream, or by lapsing while a fault disturbs the system. Any other end is a violation, and so
 * is a new owner under a lower fence.
 */
final class OwnershipChecker {

  private static final int MAX_REPORTED = 3;
  private static final String SERVICE = OwnershipSystem.SERVICE;

  private final EventQueue queue;
  private final List<SimulatedUpstream> upstreams;
  private final List<SliceRange> slices;
  private final Trace trace;
  private final List<String> violations = new ArrayList<>();
  private final Map<LocalSlice, Fence> highestOwned = new HashMap<>();
  private final Map<String, Holding> holdings = new HashMap<>();
  private final List<Interval> disturbances = new ArrayList<>();

  /** A slice in one data centre, whose leaders give its fences. */
  private record LocalSlice(String dataCentre, SliceRange range) {}

  private record Holding(int starts, Set<SliceRange> slices) {}

  private record Interval(long fromMs, long untilMs) {}

  OwnershipChecker(
      EventQueue queue, List<SimulatedUpstream> upstreams, int sliceCount, Trace trace) {
    this.queue = Assert.notNull(queue, "queue");
    this.upstreams = List.copyOf(upstreams);
    this.slices = SliceRange.divide(sliceCount);
    this.trace = Assert.notNull(trace, "trace");
  }

  List<String> violations() {
    return violations;
  }

  /** Notes that a fault may make grants lapse between two true times. */
  void noteDisturbedBetween(long fromMs, long untilMs) {
    disturbances.add(new Interval(fromMs, untilMs));
  }

  private boolean disturbed() {
    long now = queue.nowMs();
    return disturbances.stream().anyMatch(i -> i.fromMs() <= now && now <= i.untilMs());
  }

  /** Checks the state after an upstream handled a grant. */
  void afterGrant(
      String sender, SimulatedUpstream upstream, GrantRequest request, GrantReply reply) {
    if (!reply.getAccepted()) {
      return;
    }
    if (trace.recording()) {
      String slicesText = request.getFenceOnly() ? "fence only" : describe(request);
      Fence fence = Fence.of(request.getFence());
      trace.add(
          queue.nowMs(), "%s accepts %s from %s: %s", upstream.name(), fence, sender, slicesText);
    }
    checkFences(upstream);
    checkSingleOwners();
    holdings.put(upstream.name(), new Holding(upstream.starts(), owned(upstream)));
  }

  private static String describe(GrantRequest request) {
    return request.getSlicesList().stream()
        .map(GrantedSlice::getRange)
        .map(range -> String.format("%04x", range.getFirst() >>> 48))
        .sorted()
        .collect(Collectors.joining(" "));
  }

  private void checkFences(SimulatedUpstream upstream) {
    for (SliceRange slice : slices) {
      Optional<Fence> owned = upstream.ownedFence(SERVICE, slice.first());
      if (owned.isEmpty()) {
        continue;
      }
      LocalSlice local = new LocalSlice(upstream.dataCentre(), slice);
      Fence highest = highestOwned.getOrDefault(local, Fence.NONE);
      if (owned.get().compareTo(highest) < 0) {
        violate("%s owns %s under %s after %s", upstream.name(), slice, owned.get(), highest);
      } else {
        highestOwned.put(local, owned.get());
      }
    }
  }

  private void checkSingleOwners() {
    Map<SliceRange, String> owners = new HashMap<>();
    for (SimulatedUpstream upstream : upstreams) {
      for (SliceRange slice : owned(upstream)) {
        String other = owners.put(slice, upstream.name());
        if (other != null) {
          violate("%s has the owners %s and %s", slice, other, upstream.name());
        }
      }
    }
  }

  /** Checks that no accepted assignment ended without a cause. */
  void checkHoldings() {
    for (SimulatedUpstream upstream : upstreams) {
      Holding holding = holdings.get(upstream.name());
      if (holding == null) {
        continue;
      }
      Set<SliceRange> now = owned(upstream);
      boolean restarted = !upstream.running() || upstream.starts() != holding.starts();
      if (!restarted && !now.containsAll(holding.slices()) && !disturbed()) {
        violate("%s lost %s without a fault", upstream.name(), holding.slices());
      }
      holdings.put(upstream.name(), new Holding(upstream.starts(), now));
    }
  }

  /** Checks that every slice has an owner. */
  void checkAllOwned() {
    List<SliceRange> unowned = unowned();
    if (!unowned.isEmpty()) {
      violate("nobody owns %s", unowned);
    }
  }

  /** Returns the slices that have no owner at this moment. */
  List<SliceRange> unowned() {
    return slices.stream()
        .filter(slice -> upstreams.stream().noneMatch(u -> owns(u, slice)))
        .toList();
  }

  private Set<SliceRange> owned(SimulatedUpstream upstream) {
    Set<SliceRange> owned = new HashSet<>();
    for (SliceRange slice : slices) {
      if (owns(upstream, slice)) {
        owned.add(slice);
      }
    }
    return owned;
  }

  private static boolean owns(SimulatedUpstream upstream, SliceRange slice) {
    return upstream.ownedFence(SERVICE, slice.first()).isPresent();
  }

  private void violate(String format, Object... arguments) {
    String text = String.format(format, arguments);
    if (violations.size() < MAX_REPORTED) {
      violations.add(text);
    }
    trace.add(queue.nowMs(), "VIOLATION %s", text);
  }
}
