package org.foxtailford.core.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Tells which upstreams this VM cannot reach while it reaches others, and whether other entry VMs
 * can serve requests for them.
 *
 * <p>Load pattern: the network path of some VMs to most upstreams fails for some seconds, while
 * other VMs reach them. One connection shows that the path as a whole is sound, so {@link
 * UpstreamPath} does not help.
 *
 * <p>An upstream that no VM reaches looks the same from here. What is relayed therefore begins with
 * a single trial at a time for each subject (the owner of a key, or a service without keys); more
 * follows only once another VM has served one. Not thread-safe.
 */
public final class UpstreamReach {

  /** Interval of the probes that find out whether an upstream is reached, in milliseconds. */
  public static final long PROBE_INTERVAL_MS = 500;

  /** Time for which a request that another VM served allows to relay more, in milliseconds. */
  private static final long PROOF_MS = 2000;

  /** Time after a refused trial until the next one, in milliseconds; doubles each time. */
  private static final long INITIAL_PAUSE_MS = 250;

  /** Maximum time between two trials, in milliseconds; a cut of some seconds is to be noticed. */
  private static final long MAX_PAUSE_MS = 2000;

  /** Time after which a subject that is no longer relayed is forgotten, in milliseconds. */
  private static final long MEMORY_MS = 10_000;

  private final MillisClock clock;
  private final Set<String> unreached = new HashSet<>();
  private final Map<String, Long> probedAtMs = new HashMap<>();
  private final Map<String, Subject> subjects = new HashMap<>();

  private static final class Subject {
    private int relayed;
    private int refusals;
    private long provenUntilMs = Long.MIN_VALUE / 2;
    private long nextTrialMs = Long.MIN_VALUE / 2;
  }

  /** Creates the state of a VM that reaches all upstreams. */
  public UpstreamReach(MillisClock clock) {
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Records that a connection to an upstream was refused or could not be opened in time.
   *
   * @return whether the upstream was reached before
   */
  public boolean recordFailure(String upstream) {
    return unreached.add(upstream);
  }

  /**
   * Records a connection to an upstream. Answers don't count: they may come over one that was open
   * before and lives on.
   *
   * @return whether it was not reached before
   */
  public boolean recordContact(String upstream) {
    return unreached.remove(upstream);
  }

  /** Forgets everything, after the VM's whole path was restored. */
  public void clear() {
    unreached.clear();
    subjects.values().removeIf(subject -> subject.relayed == 0);
  }

  /** Forgets the upstreams that are no longer known, and subjects that are no longer relayed. */
  public void retain(Set<String> known) {
    unreached.retainAll(known);
    long nowMs = clock.nowMs();
    subjects
        .values()
        .removeIf(
            subject ->
                subject.relayed == 0
                    && Math.max(subject.provenUntilMs, subject.nextTrialMs) + MEMORY_MS < nowMs);
    probedAtMs.keySet().retainAll(known);
  }

  /** Returns whether no connection to an upstream could be opened since its last contact. */
  public boolean isUnreached(String upstream) {
    return unreached.contains(upstream);
  }

  /** Returns whether any upstream is not reached. */
  public boolean hasUnreached() {
    return !unreached.isEmpty();
  }

  /** Returns the number of upstreams that are not reached. */
  public int unreachedCount() {
    return unreached.size();
  }

  /** Returns whether a probe of an upstream is due, and records that it is made. */
  public boolean beginProbe(String upstream) {
    long nowMs = clock.nowMs();
    Long lastMs = probedAtMs.get(upstream);
    if (lastMs != null && nowMs - lastMs < PROBE_INTERVAL_MS) {
      return false;
    }
    probedAtMs.put(upstream, nowMs);
    return true;
  }

  /** Returns whether another VM has lately served a request for a subject. */
  public boolean isProven(String subject) {
    Subject known = subjects.get(subject);
    return known != null && clock.nowMs() < known.provenUntilMs;
  }

  /**
   * Returns whether a request for which this VM has no free upstream may be relayed.
   *
   * @param subject owner of the request's key, or its service if it has none
   * @param unreachedSlots slots of all upstreams that may serve it and are not reached; no more
   *     requests than that are relayed. Called only if the rest allows it
   */
  public boolean mayRelay(String subject, IntSupplier unreachedSlots) {
    Subject known = subjects.computeIfAbsent(subject, name -> new Subject());
    if (isProven(subject)) {
      return known.relayed < unreachedSlots.getAsInt();
    }
    return known.relayed == 0
        && clock.nowMs() >= known.nextTrialMs
        && unreachedSlots.getAsInt() > 0;
  }

  /** Records that a request is relayed; its end must be recorded, too. */
  public void recordRelayed(String subject) {
    subjects.computeIfAbsent(subject, name -> new Subject()).relayed++;
  }

  /** Records the end of a relayed request that shows nothing of its subject. */
  public void recordRelayWithoutOutcome(String subject) {
    Subject known = subjects.computeIfAbsent(subject, name -> new Subject());
    known.relayed = Math.max(0, known.relayed - 1);
  }

  /**
   * Records the end of a relayed request.
   *
   * @param served whether another VM's upstream answered it
   */
  public void recordRelayEnd(String subject, boolean served) {
    Subject known = subjects.computeIfAbsent(subject, name -> new Subject());
    long nowMs = clock.nowMs();
    known.relayed = Math.max(0, known.relayed - 1);
    if (served) {
      known.provenUntilMs = nowMs + PROOF_MS;
      known.refusals = 0;
    } else if (!isProven(subject)) {
      long pauseMs = INITIAL_PAUSE_MS << Math.min(known.refusals++, 8);
      known.nextTrialMs = nowMs + Math.min(pauseMs, MAX_PAUSE_MS);
    }
  }
}
