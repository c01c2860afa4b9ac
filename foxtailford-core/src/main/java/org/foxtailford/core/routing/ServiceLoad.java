package org.foxtailford.core.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.foxtailford.core.admission.SlotWindow;
import org.foxtailford.core.util.Assert;

/**
 * Tracks the load of the upstreams of one service as observed by this VM. Thread-safe.
 *
 * <p>An upstream that is much slower than the pool is put on probation: it gets one probe request
 * at a time until several answers in a row are fast again. At most a third of the pool is on
 * probation, since a pool that is slow as a whole has no stragglers.
 */
public final class ServiceLoad {

  /** Multiple of the pool's median above which an average latency leads to probation. */
  private static final double STRAGGLER_FACTOR = 4.0;

  /** Multiple of the pool's median above which a single answer is slow. */
  private static final double SLOW_FACTOR = 3.0;

  /** Multiple of the pool's 95th percentile after which an answer is overdue. */
  private static final double OVERDUE_FACTOR = 1.5;

  /** Lower bound of the three limits above, in milliseconds. */
  private static final long MIN_OVERDUE_MS = 4;

  /** Overdue threshold before latencies are known, in milliseconds. */
  private static final long INITIAL_OVERDUE_MS = 200;

  /** At most one in this many upstreams of the pool is on probation. */
  private static final int PROBATION_DIVISOR = 3;

  private final int slots;
  private final IntSupplier entryVms;
  private final LatencyDistribution latencies = new LatencyDistribution();
  private final Map<String, UpstreamLoad> byUpstream = new ConcurrentHashMap<>();

  /**
   * Creates the load of a service without any requests.
   *
   * @param slots maximum number of requests that one upstream runs at once
   * @param entryVms returns the number of live entry VMs that may send to its upstreams
   */
  public ServiceLoad(int slots, IntSupplier entryVms) {
    this.slots = slots;
    this.entryVms = Assert.notNull(entryVms, "entryVms");
  }

  private UpstreamLoad load(String upstream) {
    UpstreamLoad existing = byUpstream.get(upstream);
    if (existing != null) {
      return existing;
    }
    return byUpstream.computeIfAbsent(
        upstream,
        name -> new UpstreamLoad(new SlotWindow(slots, Math.max(1, entryVms.getAsInt()))));
  }

  /**
   * Returns whether an upstream may get a request without a key now: it is not draining, has a free
   * slot and, if it is on probation, is due for a probe.
   */
  public boolean canAccept(String upstream, long nowMs) {
    UpstreamLoad load = load(upstream);
    boolean allowed = !load.isOnProbation() || load.isProbeDue(nowMs);
    return allowed && !load.isDraining(nowMs) && load.window().hasFreeSlot(nowMs);
  }

  /** Returns whether an upstream recently refused a request because it is draining. */
  public boolean isDraining(String upstream, long nowMs) {
    return load(upstream).isDraining(nowMs);
  }

  /**
   * Returns the relative cost of sending one more request to an upstream, from the utilization of
   * its slots and its average latency; lower is better.
   */
  public double cost(String upstream) {
    UpstreamLoad load = load(upstream);
    return (load.window().utilization() + 1.0 / slots) * (1 + load.ewmaMs());
  }

  /**
   * Acquires a slot at an upstream.
   *
   * @param upstream name of the upstream
   * @param keyed whether only this upstream may run the request, so that probation and draining are
   *     ignored
   * @param nowMs reading of this VM's clock
   * @return whether a slot was free; if so, {@link #recordEnd} must be called
   */
  public boolean tryStart(String upstream, boolean keyed, long nowMs) {
    UpstreamLoad load = load(upstream);
    if (!keyed && !canAccept(upstream, nowMs)) {
      return false;
    }
    if (!load.window().tryAcquire(nowMs)) {
      return false;
    }
    if (load.isOnProbation()) {
      load.recordProbe(nowMs);
    }
    return true;
  }

  /**
   * Releases the slot of an attempt and records its outcome.
   *
   * @param upstream name of the upstream
   * @param outcome outcome of the attempt
   * @param elapsedMs duration of the attempt, in milliseconds
   * @param nowMs reading of this VM's clock
   */
  public void recordEnd(String upstream, AttemptOutcome outcome, long elapsedMs, long nowMs) {
    UpstreamLoad load = load(upstream);
    switch (outcome) {
      case ANSWERED:
        load.window().release(true);
        recordAnswer(load, elapsedMs, nowMs);
        break;
      case REJECTED_FULL:
        load.window().releaseRejected(nowMs);
        break;
      case DRAINING:
        load.window().release(false);
        load.window().reset();
        load.recordDraining(nowMs);
        break;
      default:
        load.window().release(false);
        break;
    }
  }

  private void recordAnswer(UpstreamLoad load, long elapsedMs, long nowMs) {
    latencies.record(elapsedMs, nowMs);
    long medianMs = latencies.medianMs();
    boolean slow = medianMs > 0 && elapsedMs > Math.max(MIN_OVERDUE_MS, SLOW_FACTOR * medianMs);
    double ewmaMs = load.recordAnswer(elapsedMs, slow);
    double limitMs = Math.max(MIN_OVERDUE_MS, STRAGGLER_FACTOR * medianMs);
    if (medianMs > 0 && slow && ewmaMs > limitMs) {
      startProbation(load, nowMs);
    }
  }

  /**
   * Records that {@link #overdueThresholdMs} passed without an answer of an upstream; after two in
   * a row it is put on probation.
   */
  public void recordOverdue(String upstream, long nowMs) {
    UpstreamLoad load = load(upstream);
    if (load.recordOverdue()) {
      startProbation(load, nowMs);
    }
  }

  private void startProbation(UpstreamLoad load, long nowMs) {
    long onProbationCount =
        byUpstream.values().stream().filter(UpstreamLoad::isOnProbation).count();
    if ((onProbationCount + 1) * PROBATION_DIVISOR <= byUpstream.size()) {
      load.startProbation(nowMs);
    }
  }

  /** Returns whether an upstream is on probation. */
  public boolean isOnProbation(String upstream) {
    return load(upstream).isOnProbation();
  }

  /** Returns the time after which an answer counts as overdue, in milliseconds. */
  public long overdueThresholdMs() {
    long p95Ms = latencies.p95Ms();
    if (p95Ms == 0) {
      return INITIAL_OVERDUE_MS;
    }
    return Math.max(MIN_OVERDUE_MS, Math.round(OVERDUE_FACTOR * p95Ms));
  }

  /** Returns the number of requests that this VM has in flight at an upstream. */
  public int inFlight(String upstream) {
    return load(upstream).window().inFlight();
  }
}
