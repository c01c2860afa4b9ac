package org.foxtailford.benchmarks.requests;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/** One run of a policy at a load, with a fault. */
final class LoadRun {

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long WARM_UP_MICROS = 2 * MICROS_PER_SECOND;
  private static final long STRAGGLER_PERIOD_MICROS = 3 * MICROS_PER_SECOND;
  private static final double STRAGGLER_SHARE = 0.1;
  private static final double STRAGGLER_FACTOR = 20;
  private static final long MAX_LATENCY_MICROS = 60 * MICROS_PER_SECOND;

  /** Fault of a run. */
  enum Fault {
    NONE,
    STRAGGLERS,
    HALF_SHED
  }

  private final CustomerSize size;
  private final Fault fault;
  private final LoadProfile profile;
  private final long untilMicros;
  private final EventQueue events = new EventQueue();
  private final Random random;
  private final ModelFleet fleet;
  private final List<RequestPolicy> policies = new ArrayList<>();
  private final Histogram latencies = new Histogram(MAX_LATENCY_MICROS, 3);
  private long offered;
  private long served;
  private long refused;

  LoadRun(CustomerSize size, PolicyKind kind, Fault fault, LoadProfile profile) {
    this.size = size;
    this.fault = fault;
    this.profile = profile;
    this.untilMicros = WARM_UP_MICROS + profile.seconds() * MICROS_PER_SECOND;
    this.random = new Random(profile.seed());
    this.fleet = new ModelFleet(size, events, random, profile.upstreamQueue());
    for (int i = 0; i < size.entryVms(); i++) {
      policies.add(
          kind == PolicyKind.REQUEST_PATH
              ? new RequestPathPolicy(size, fleet, i, events, random)
              : new BaselinePolicy(kind, fleet, i, random));
    }
  }

  /** Runs to the end and returns what was measured after the warm-up. */
  RunResult run() {
    for (CustomerSize.Pool pool : size.pools()) {
      arriveNext(pool);
    }
    if (fault == Fault.STRAGGLERS) {
      drawStragglers();
    }
    if (fault == Fault.HALF_SHED) {
      shedHalf();
    }
    events.runUntil(WARM_UP_MICROS);
    latencies.reset();
    offered = 0;
    served = 0;
    refused = 0;
    long received = sum(ModelUpstream::received);
    long started = sum(ModelUpstream::started);
    long finished = sum(ModelUpstream::finished);
    events.runUntil(untilMicros);
    return new RunResult(
        offered,
        served,
        refused,
        sum(ModelUpstream::received) - received,
        sum(ModelUpstream::started) - started,
        sum(ModelUpstream::finished) - finished,
        capacity() * (untilMicros - WARM_UP_MICROS) / MICROS_PER_SECOND,
        latencies.getValueAtPercentile(50),
        latencies.getValueAtPercentile(99));
  }

  private long sum(ToLongFunction<ModelUpstream> count) {
    return fleet.upstreams().stream().mapToLong(count).sum();
  }

  /** Returns the requests a second that all upstreams together can run. */
  private double capacity() {
    return size.upstreams() * size.slots() * MICROS_PER_SECOND / ModelUpstream.MEAN_MICROS;
  }

  private void arriveNext(CustomerSize.Pool pool) {
    double rate = profile.load() * capacity() * pool.upstreams() / size.upstreams();
    double gapMicros = -Math.log(1 - random.nextDouble()) * MICROS_PER_SECOND / rate;
    events.after(
        Math.round(gapMicros),
        () -> {
          arrive(pool);
          arriveNext(pool);
        });
  }

  private void arrive(CustomerSize.Pool pool) {
    long startedMicros = events.nowMicros();
    offered++;
    policies
        .get(random.nextInt(policies.size()))
        .serve(pool)
        .whenComplete(
            (good, failure) -> {
              if (failure == null && good) {
                served++;
                latencies.recordValue(events.nowMicros() - startedMicros);
              } else {
                refused++;
              }
            });
  }

  private void drawStragglers() {
    List<ModelUpstream> drawn = new ArrayList<>(fleet.upstreams());
    Collections.shuffle(drawn, random);
    drawn.forEach(upstream -> upstream.setSlowFactor(1));
    drawn.stream()
        .limit(Math.round(drawn.size() * STRAGGLER_SHARE))
        .forEach(upstream -> upstream.setSlowFactor(STRAGGLER_FACTOR));
    events.after(STRAGGLER_PERIOD_MICROS, this::drawStragglers);
  }

  private void shedHalf() {
    for (int i = 0; i < fleet.upstreams().size(); i += 2) {
      fleet.upstreams().get(i).setShedding(true);
    }
  }
}
