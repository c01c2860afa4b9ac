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
 * Detects requests that crash the upstreams that run them, by correlating lost connections with
 * lost upstreams.
 *
 * <p>A request whose connection was lost together with its upstream becomes a suspect. A suspect
 * runs only while no other suspect runs on this VM, so that harmless suspects are not in flight at
 * the next loss; a complete answer clears it. A request that was in flight at {@link
 * PoisonLimits#maxLosses} losses is refused, or at {@link PoisonLimits#maxSharedLosses} if another
 * one was there each time. Requests are identified by a fingerprint of their content. Thread-safe.
 */
public final class PoisonTracker {

  private final PoisonLimits limits;
  private final MillisClock clock;
  private final Map<Long, List<Loss>> suspects = new LinkedHashMap<>();
  private final Map<String, Deque<LostConnection>> lostConnections = new HashMap<>();
  private final Map<String, Long> upstreamLossTimesMs = new HashMap<>();
  private final Map<String, Long> toldLossTimesMs = new HashMap<>();
  private final Set<Long> runningSuspects = new HashSet<>();

  private record Loss(String upstream, long atMs) {}

  private record LostConnection(long fingerprint, long atMs) {}

  public PoisonTracker(PoisonLimits limits, MillisClock clock) {
    this.limits = Assert.notNull(limits, "limits");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Returns the verdict on a request, without regard to losses older than the TTL. */
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
    boolean poison =
        losses.size() >= limits.maxSharedLosses()
            || losses.size() >= limits.maxLosses() && !isShared(fingerprint, losses);
    return poison ? PoisonVerdict.POISON : PoisonVerdict.SUSPECT;
  }

  /** Returns whether another request was in flight at all losses of a request. */
  private boolean isShared(long fingerprint, List<Loss> losses) {
    if (limits.maxSharedLosses() == limits.maxLosses()) {
      return false;
    }
    Set<String> upstreams = upstreamsOf(losses);
    return suspects.entrySet().stream()
        .anyMatch(
            other ->
                other.getKey() != fingerprint
                    && upstreamsOf(other.getValue()).containsAll(upstreams));
  }

  private static Set<String> upstreamsOf(List<Loss> losses) {
    Set<String> upstreams = new HashSet<>();
    losses.forEach(loss -> upstreams.add(loss.upstream()));
    return upstreams;
  }

  /**
   * Returns the time for which a poison request is refused from now on, in milliseconds; 0 if it is
   * not refused.
   */
  public synchronized long refusedForMs(long fingerprint) {
    if (verdict(fingerprint) != PoisonVerdict.POISON) {
      return 0;
    }
    long oldestMs = suspects.get(fingerprint).stream().mapToLong(Loss::atMs).min().orElse(0);
    return oldestMs + limits.ttlMs() - clock.nowMs();
  }

  /**
   * Starts the run of a suspect unless a suspect is already running on this VM.
   *
   * @return whether the run may start; if so, {@link #endTrial} must follow
   */
  public synchronized boolean tryBeginTrial(long fingerprint) {
    return runningSuspects.isEmpty() && runningSuspects.add(fingerprint);
  }

  /** Ends the run of a suspect. */
  public synchronized void endTrial(long fingerprint) {
    runningSuspects.remove(fingerprint);
  }

  /** Records a complete answer to a request, which clears it of suspicion. */
  public synchronized void recordAnswer(long fingerprint) {
    suspects.remove(fingerprint);
  }

  /**
   * Records that the connection of a request was lost before its answer was complete.
   *
   * @return report to send to the other entry VMs; empty unless the upstream is known to be lost
   */
  public synchronized Optional<PoisonReport> recordConnectionLoss(
      String upstream, long fingerprint) {
    long nowMs = clock.nowMs();
    long sinceMs = nowMs - limits.correlationWindowMs();
    lostConnections.values().removeIf(lost -> lost.getLast().atMs() < sinceMs);
    Deque<LostConnection> requests =
        lostConnections.computeIfAbsent(upstream, absent -> new ArrayDeque<>());
    requests.add(new LostConnection(fingerprint, nowMs));
    if (requests.size() > limits.maxSuspects()) {
      requests.removeFirst();
    }
    Long lostMs = upstreamLossTimesMs.get(upstream);
    boolean known = lostMs != null && nowMs - lostMs < limits.duplicateWindowMs();
    return known ? createReport(upstream, nowMs) : Optional.empty();
  }

  /**
   * Records that an upstream was lost: it accepts no connections, or runs under another boot id.
   *
   * @return report to send to the other entry VMs; empty unless requests of this VM were in flight
   */
  public synchronized Optional<PoisonReport> recordUpstreamLoss(String upstream) {
    long nowMs = clock.nowMs();
    upstreamLossTimesMs.values().removeIf(lostMs -> nowMs - lostMs >= limits.duplicateWindowMs());
    upstreamLossTimesMs.putIfAbsent(upstream, nowMs);
    return createReport(upstream, nowMs);
  }

  private Optional<PoisonReport> createReport(String upstream, long nowMs) {
    Deque<LostConnection> requests = lostConnections.remove(upstream);
    if (requests == null) {
      return Optional.empty();
    }
    PoisonReport.Builder report = PoisonReport.newBuilder().setUpstream(upstream);
    for (LostConnection request : requests) {
      if (nowMs - request.atMs() <= limits.correlationWindowMs()) {
        recordLoss(request.fingerprint(), new Loss(upstream, nowMs));
        report.addFingerprints(request.fingerprint());
      }
    }
    return report.getFingerprintsCount() == 0 ? Optional.empty() : Optional.of(report.build());
  }

  /**
   * Records that an upstream has not ended. If it was taken for lost, here or by another entry VM,
   * for example because a network partition refused connections, the requests that ran there are
   * cleared of that loss.
   */
  public synchronized void recordUpstreamAlive(String upstream) {
    lostConnections.remove(upstream);
    Long seenMs = upstreamLossTimesMs.remove(upstream);
    Long toldMs = toldLossTimesMs.remove(upstream);
    if (seenMs != null || toldMs != null) {
      suspects.values().forEach(losses -> losses.removeIf(l -> l.upstream().equals(upstream)));
      suspects.values().removeIf(List::isEmpty);
    }
  }

  /**
   * Returns whether this VM or another one lost an upstream before a time, so that a request sent
   * at that time went to another process.
   */
  public synchronized boolean isLostBefore(String upstream, long timeMs) {
    long firstMs =
        Math.min(
            upstreamLossTimesMs.getOrDefault(upstream, Long.MAX_VALUE),
            toldLossTimesMs.getOrDefault(upstream, Long.MAX_VALUE));
    return firstMs < timeMs;
  }

  /** Returns whether an upstream counts as lost. */
  public synchronized boolean isLost(String upstream) {
    return upstreamLossTimesMs.containsKey(upstream);
  }

  /**
   * Adds a loss that another entry VM has seen.
   *
   * @param atMs when it happened, in milliseconds
   */
  public synchronized void applyLoss(String upstream, long fingerprint, long atMs) {
    long sinceMs = clock.nowMs() - limits.ttlMs();
    toldLossTimesMs.values().removeIf(lostMs -> lostMs < sinceMs);
    toldLossTimesMs.merge(upstream, atMs, Math::min);
    recordLoss(fingerprint, new Loss(upstream, atMs));
  }

  /** Adds the losses in another entry VM's report. */
  public synchronized void applyReport(PoisonReport report) {
    long nowMs = clock.nowMs();
    for (long fingerprint : report.getFingerprintsList()) {
      recordLoss(fingerprint, new Loss(report.getUpstream(), nowMs));
    }
  }

  private void recordLoss(long fingerprint, Loss loss) {
    List<Loss> losses = suspects.computeIfAbsent(fingerprint, absent -> new ArrayList<>());
    boolean known = losses.stream().anyMatch(other -> isSameLoss(loss, other));
    if (!known && losses.size() < limits.maxSharedLosses()) {
      losses.add(loss);
    }
    if (suspects.size() > limits.maxSuspects()) {
      suspects.remove(suspects.keySet().iterator().next());
    }
  }

  private boolean isSameLoss(Loss loss, Loss other) {
    boolean inWindow = loss.atMs() - other.atMs() < limits.duplicateWindowMs();
    return inWindow && loss.upstream().equals(other.upstream());
  }

  /** Returns the number of requests under suspicion. */
  public synchronized int suspectCount() {
    return suspects.size();
  }
}
