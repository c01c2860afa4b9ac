package org.foxtailford.core.poison;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.PoisonReport;

/**
 * Finds requests that crash the upstreams that run them, by the coincidence of losses.
 *
 * <p>A request whose connection was lost together with its upstream is suspect. A suspect runs only
 * while no other suspect runs on this VM, so that innocent ones are not in flight at the next loss;
 * a whole answer clears it. One that was in flight at {@link PoisonLimits#maxLosses} losses is
 * refused. Requests are told apart by a fingerprint of their content. Thread-safe.
 */
public final class PoisonTracker {

  private final PoisonLimits limits;
  private final MillisClock clock;
  private final Map<Long, List<Loss>> suspects = new LinkedHashMap<>();
  private final Map<String, Deque<Broken>> broken = new HashMap<>();
  private final Map<String, Long> lostAtMs = new HashMap<>();
  private final Set<Long> trials = new HashSet<>();

  private record Loss(String upstream, long atMs) {}

  private record Broken(long fingerprint, long atMs) {}

  public PoisonTracker(PoisonLimits limits, MillisClock clock) {
    this.limits = Assert.notNull(limits, "limits");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Returns what is known of a request. */
  public synchronized PoisonVerdict verdict(long fingerprint) {
    List<Loss> losses = suspects.get(fingerprint);
    if (losses == null) {
      return PoisonVerdict.CLEAR;
    }
    long sinceMs = clock.nowMs() - limits.ttlMs();
    losses.removeIf(loss -> loss.atMs() < sinceMs);
    if (losses.isEmpty()) {
      suspects.remove(fingerprint);
      return PoisonVerdict.CLEAR;
    }
    boolean condemned = losses.size() >= limits.maxLosses();
    return condemned ? PoisonVerdict.POISON : PoisonVerdict.SUSPECT;
  }

  /** Starts to run a suspect, if no other one runs here. */
  public synchronized boolean tryBeginTrial(long fingerprint) {
    return trials.isEmpty() && trials.add(fingerprint);
  }

  /** Ends the run of a suspect. */
  public synchronized void endTrial(long fingerprint) {
    trials.remove(fingerprint);
  }

  /** Notes a whole answer, which clears the request. */
  public synchronized void recordAnswer(long fingerprint) {
    suspects.remove(fingerprint);
  }

  /**
   * Notes that a request's connection was lost before its answer.
   *
   * @return what to tell the other entry VMs, if the upstream is known to be lost
   */
  public synchronized Optional<PoisonReport> recordConnectionLoss(
      String upstream, long fingerprint) {
    long nowMs = clock.nowMs();
    Deque<Broken> requests = broken.computeIfAbsent(upstream, absent -> new ArrayDeque<>());
    requests.add(new Broken(fingerprint, nowMs));
    if (requests.size() > limits.maxSuspects()) {
      requests.removeFirst();
    }
    Long lostMs = lostAtMs.get(upstream);
    boolean known = lostMs != null && nowMs - lostMs < limits.duplicateWindowMs();
    return known ? report(upstream, nowMs) : Optional.empty();
  }

  /**
   * Notes that an upstream was lost: it takes no connections, or runs with another boot id.
   *
   * @return what to tell the other entry VMs, if requests of this VM were in flight
   */
  public synchronized Optional<PoisonReport> recordUpstreamLoss(String upstream) {
    long nowMs = clock.nowMs();
    lostAtMs.values().removeIf(lostMs -> nowMs - lostMs >= limits.duplicateWindowMs());
    lostAtMs.put(upstream, nowMs);
    return report(upstream, nowMs);
  }

  private Optional<PoisonReport> report(String upstream, long nowMs) {
    Deque<Broken> requests = broken.remove(upstream);
    if (requests == null) {
      return Optional.empty();
    }
    PoisonReport.Builder report = PoisonReport.newBuilder().setUpstream(upstream);
    for (Broken request : requests) {
      if (nowMs - request.atMs() <= limits.correlationWindowMs()) {
        suspect(request.fingerprint(), new Loss(upstream, nowMs));
        report.addFingerprints(request.fingerprint());
      }
    }
    return report.getFingerprintsCount() == 0 ? Optional.empty() : Optional.of(report.build());
  }

  /** Takes another entry VM's report. */
  public synchronized void applyReport(PoisonReport report) {
    long nowMs = clock.nowMs();
    for (long fingerprint : report.getFingerprintsList()) {
      suspect(fingerprint, new Loss(report.getUpstream(), nowMs));
    }
  }

  private void suspect(long fingerprint, Loss loss) {
    List<Loss> losses = suspects.computeIfAbsent(fingerprint, absent -> new ArrayList<>());
    boolean known = losses.stream().anyMatch(other -> isSame(loss, other));
    if (!known && losses.size() < limits.maxLosses()) {
      losses.add(loss);
    }
    if (suspects.size() > limits.maxSuspects()) {
      suspects.remove(suspects.keySet().iterator().next());
    }
  }

  private boolean isSame(Loss loss, Loss other) {
    boolean near = loss.atMs() - other.atMs() < limits.duplicateWindowMs();
    return near && loss.upstream().equals(other.upstream());
  }

  /** Returns the number of requests under suspicion. */
  public synchronized int suspectCount() {
    return suspects.size();
  }
}
