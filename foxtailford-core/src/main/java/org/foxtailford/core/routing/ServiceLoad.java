package org.foxtailford.core.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.foxtailford.core.admission.SlotWindow;
import org.foxtailford.core.util.Assert;

/**
 * Load of the upstreams of one service, from what this VM itself sees. Thread-safe.
 *
 * <p>An upstream much slower than the pool goes on probation: it gets one probe request at a time,
 * until several in a row are fast again. At most a third of the pool is on probation, since a pool
 * that is slow as a whole has no stragglers.
 */
public final class ServiceLoad {

  private static final double STRAGGLER_FACTOR = 4.0;
  private static final double GOOD_FACTOR = 3.0;
  private static final double OVERDUE_FACTOR = 1.5;
  private static final long MIN_OVERDUE_MS = 4;
  private static final long INITIAL_OVERDUE_MS = 200;
  private static final int PROBATION_PART = 3;

  private final int slots;
  private final IntSupplier entryVms;
  private final LatencyDistribution latencies = new LatencyDistribution();
  private final Map<String, UpstreamLoad> byUpstream = new ConcurrentHashMap<>();

  /**
   * Creates the load of a service without any requests yet.
   *
   * @param slots requests that one upstream runs at once
   * @param entryVms gives the number of live entry VMs that may send to its upstreams
   */
  public ServiceLoad(int slots, IntSupplier entryVms) {
    this.slots = slots;
    this.entryVms = Assert.notNull(entryVms, "entryVms");
  }

  private UpstreamLoad load(String upstream) {
    UpstreamLoad known = byUpstream.get(upstream);
    if (known != null) {
      return known;
    }
    return byUpstream.computeIfAbsent(
        upstream,
        name -> new UpstreamLoad(new SlotWindow(slots, Math.max(1, entryVms.getAsInt()))));
  }

  /** Tells whether any upstream that is not leaving may take a request now. */
  public boolean canAccept(String upstream, long nowMs) {
    UpstreamLoad load = load(upstream);
    boolean allowed = !load.isOnProbation() || load.probeDue(nowMs);
    return allowed && !load.isDraining(nowMs) && load.window().hasRoom(nowMs);
  }

  /** Tells whether an upstream said recently that it is leaving. */
  public boolean isDraining(String upstream, long nowMs) {
    return load(upstream).isDraining(nowMs);
  }

  /** Returns the expected cost of one more request; lower is better. */
  public double cost(String upstream) {
    UpstreamLoad load = load(upstream);
    return (load.window().utilization() + 1.0 / slots) * (1 + load.ewmaMs());
  }

  /**
   * Takes a slot at an upstream.
   *
   * @param upstream where to
   * @param keyed whether it is the only one that may run the request, so that probation is ignored
   * @param nowMs reading of this VM's clock
   * @return whether a slot was free; if so {@link #recordEnd} must follow
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
      load.probeStarted(nowMs);
    }
    return true;
  }

  /**
   * Gives a slot back.
   *
   * @param upstream where the attempt was made
   * @param outcome how it ended
   * @param elapsedMs time that it took, in milliseconds
   * @param nowMs reading of this VM's clock
   */
  public void recordEnd(String upstream, AttemptOutcome outcome, long elapsedMs, long nowMs) {
    UpstreamLoad load = load(upstream);
    switch (outcome) {
      case ANSWERED:
        load.window().release(true);
        answered(load, elapsedMs, nowMs);
        break;
      case REJECTED_FULL:
        load.window().releaseRefused(nowMs);
        break;
      case DRAINING:
        load.window().release(false);
        load.window().restart();
        load.hold(nowMs);
        break;
      default:
        load.window().release(false);
        break;
    }
  }

  private void answered(UpstreamLoad load, long elapsedMs, long nowMs) {
    latencies.record(elapsedMs, nowMs);
    long medianMs = latencies.medianMs();
    boolean slow = medianMs > 0 && elapsedMs > Math.max(MIN_OVERDUE_MS, GOOD_FACTOR * medianMs);
    double ewmaMs = load.answered(elapsedMs, slow);
    double limitMs = Math.max(MIN_OVERDUE_MS, STRAGGLER_FACTOR * medianMs);
    if (medianMs > 0 && slow && ewmaMs > limitMs) {
      startProbation(load, nowMs);
    }
  }

  /**
   * Notes that an answer of an upstream is overdue: {@link #overdueThresholdMs} passed without it.
   */
  public void recordOverdue(String upstream, long nowMs) {
    UpstreamLoad load = load(upstream);
    if (load.recordOverdue()) {
      startProbation(load, nowMs);
    }
  }

  private void startProbation(UpstreamLoad load, long nowMs) {
    long already = byUpstream.values().stream().filter(UpstreamLoad::isOnProbation).count();
    if ((already + 1) * PROBATION_PART <= byUpstream.size()) {
      load.startProbation(nowMs);
    }
  }

  /** Tells whether an upstream is on probation. */
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
