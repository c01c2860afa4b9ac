package org.foxtailford.benchmarks.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.cost.CompletionChooser;
import org.foxtailford.core.cost.CostModel;
import org.foxtailford.core.cost.RequestClass;
import org.foxtailford.core.cost.ServiceLoadAverage;
import org.foxtailford.core.cost.UpstreamBacklog;
import org.foxtailford.core.upstream.LoadReport;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamChooser;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Time of the choice among 141 upstreams of a service, with all records of a request: by the
 * average of the service, and by the expected cost.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class UpstreamChoiceBenchmark {

  private static final int UPSTREAMS = 141;
  private static final int SLOTS = 4;
  private static final double COST_MS = 80;

  /** Time between two requests of one VM, in milliseconds. */
  private static final long GAP_MS = 24;

  /** Requests in flight of one VM. */
  private static final int IN_FLIGHT = 4;

  private final Random random = new Random(1);
  private final List<UpstreamEntry> entries = new ArrayList<>();
  private final Map<String, UpstreamLoad> loads = new HashMap<>();
  private final Map<String, UpstreamBacklog> backlogs = new HashMap<>();
  private final UpstreamChooser averageChooser = new UpstreamChooser(random::nextDouble);
  private final CompletionChooser chooser = new CompletionChooser(random::nextDouble);
  private final CostModel model = new CostModel();
  private final UpstreamEntry[] sent = new UpstreamEntry[IN_FLIGHT];
  private final Object[] requests = new Object[IN_FLIGHT];
  private int next;
  private long nowMs;

  /** Prepares upstreams that have answered, and costs that are known. */
  @Setup
  public void prepare() {
    ServiceLoadAverage average = new ServiceLoadAverage();
    for (int i = 0; i < UPSTREAMS; i++) {
      UpstreamAddress address = new UpstreamAddress("10.0.0." + i, 80);
      UpstreamEntry entry =
          new UpstreamEntry("u" + i, 1, "s", address, "dc" + i % 3, SLOTS, false, 0);
      entries.add(entry);
      loads.put(entry.id(), new UpstreamLoad(SLOTS));
      backlogs.put(entry.id(), new UpstreamBacklog(SLOTS, average));
    }
    for (int i = 0; i < 2000; i++) {
      model.add(newClass(), COST_MS * (random.nextInt(33) == 0 ? 7 : 1), 0);
    }
    for (int i = 0; i < IN_FLIGHT; i++) {
      sent[i] = entries.get(i);
      requests[i] = new Object();
      loads.get(sent[i].id()).recordSend(0);
    }
  }

  private RequestClass newClass() {
    return RequestClass.of("s", "route", random.nextInt(RequestClass.KEY_RANGES), 300, "");
  }

  private boolean hasRoom(UpstreamEntry entry) {
    return loads.get(entry.id()).occupied(nowMs) + 1 <= SLOTS + 0.5;
  }

  private double penaltyMs(UpstreamEntry entry) {
    return entry.dataCentre().equals("dc0") ? 0 : 18;
  }

  private LoadReport endOldest() {
    nowMs += GAP_MS;
    next = (next + 1) % IN_FLIGHT;
    UpstreamLoad load = loads.get(sent[next].id());
    LoadReport report = new LoadReport(random.nextInt(SLOTS), 0, SLOTS, 1);
    load.recordEnd(nowMs);
    load.recordReport(report, nowMs);
    load.recordSuccess(COST_MS, true);
    return report;
  }

  private Optional<UpstreamEntry> send(Optional<UpstreamEntry> chosen) {
    chosen.ifPresent(entry -> sent[next] = entry);
    loads.get(sent[next].id()).recordSend(nowMs);
    return chosen;
  }

  /** Handles a request by the average time of the service. */
  @Benchmark
  public Optional<UpstreamEntry> byAverage() {
    endOldest();
    return send(
        averageChooser.choose(
            entries,
            entry -> loads.get(entry.id()),
            this::hasRoom,
            this::penaltyMs,
            COST_MS,
            nowMs));
  }

  /** Handles a request by its expected cost, and learns from its answer. */
  @Benchmark
  public Optional<UpstreamEntry> byCost() {
    LoadReport report = endOldest();
    RequestClass requestClass = newClass();
    UpstreamBacklog ended = backlogs.get(sent[next].id());
    ended.recordEnd(requests[next]);
    ended.recordReport(report.running(), SLOTS, report.slowness(), nowMs);
    model.add(requestClass, COST_MS, nowMs);
    CompletionChooser.Expected expected =
        new CompletionChooser.Expected(
            model.find(requestClass, nowMs).orElseThrow(),
            model.find(RequestClass.ofService("s"), nowMs).orElseThrow(),
            600);
    ended.recordWork(COST_MS, expected.cost().meanMs(), nowMs);
    Optional<UpstreamEntry> chosen =
        send(
            chooser.choose(
                entries,
                entry -> backlogs.get(entry.id()),
                entry -> !loads.get(entry.id()).isSuspended(nowMs) && hasRoom(entry),
                entry -> penaltyMs(entry) + loads.get(entry.id()).penaltyMs(COST_MS, nowMs),
                expected,
                nowMs));
    requests[next] = new Object();
    backlogs.get(sent[next].id()).recordSend(requests[next], expected.cost(), nowMs);
    return chosen;
  }
}
