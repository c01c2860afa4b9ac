package org.foxtailford.core.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Tells a VM whose own path to the upstreams is cut from one some of whose upstreams are out of
 * reach.
 *
 * <p>Answers and failed connections only raise a doubt. It is settled by a round of probes, which
 * open connections to upstreams in all data centres: the VM is cut off if all of them fail, and no
 * longer once a single one succeeds. Not thread-safe.
 */
public final class UpstreamPath {

  /** Number of upstreams that must be out of reach for a doubt, unless there are fewer. */
  public static final int MIN_UPSTREAMS = 3;

  /**
   * Time without an answer of any upstream after which their silence raises a doubt, in
   * milliseconds; most requests are answered sooner.
   */
  public static final long SILENCE_MS = 400;

  /** Time for which a failed connection raises a doubt, in milliseconds. */
  private static final long FAILURE_MEMORY_MS = 1500;

  /**
   * Interval between rounds that found the path sound, in milliseconds; probes cost connections.
   */
  private static final long SOUND_INTERVAL_MS = 1000;

  /** Interval between rounds while the VM is cut off, in milliseconds. */
  private static final long CUT_INTERVAL_MS = 200;

  private final MillisClock clock;
  private final Map<String, Long> failedAtMs = new HashMap<>();
  private final Set<String> probed = new HashSet<>();
  private boolean cutOff;
  private long lastAnswerMs;
  private long nextRoundMs;

  /** Creates the state of a path that is sound. */
  public UpstreamPath(MillisClock clock) {
    this.clock = Assert.notNull(clock, "clock");
    this.lastAnswerMs = clock.nowMs();
  }

  /** Records an answer of any upstream; it may have come over a connection that was open before. */
  public void recordAnswer() {
    lastAnswerMs = clock.nowMs();
  }

  /** Records that no connection to an upstream could be opened. */
  public void recordFailure(String upstream) {
    failedAtMs.put(upstream, clock.nowMs());
  }

  /** Returns whether no new connections can be opened. */
  public boolean isCutOff() {
    return cutOff;
  }

  /** Returns whether no upstream has answered for {@link #SILENCE_MS}. */
  public boolean isSilent() {
    return clock.nowMs() - lastAnswerMs >= SILENCE_MS;
  }

  /**
   * Returns whether a round of probes is due.
   *
   * @param silentUpstreams number of upstreams that owe an answer for {@link #SILENCE_MS}
   * @param knownUpstreams number of upstreams that this VM may use
   */
  public boolean isRoundDue(int silentUpstreams, int knownUpstreams) {
    long nowMs = clock.nowMs();
    if (!probed.isEmpty() || nowMs < nextRoundMs || knownUpstreams == 0) {
      return false;
    }
    failedAtMs.values().removeIf(failedMs -> nowMs - failedMs > FAILURE_MEMORY_MS);
    int required = Math.min(MIN_UPSTREAMS, knownUpstreams);
    boolean doubtful = failedAtMs.size() >= required || isSilent() && silentUpstreams >= required;
    return cutOff || doubtful && knownUpstreams > 1; // a single one may have ended
  }

  /** Begins a round of probes, each of which is to be recorded by {@link #recordProbe}. */
  public void beginRound(Collection<String> upstreams) {
    Assert.isTrue(!upstreams.isEmpty(), "upstreams must not be empty");
    probed.clear();
    probed.addAll(upstreams);
  }

  /**
   * Records the result of a probe.
   *
   * @return whether the VM is cut off, or no longer, since this probe
   */
  public boolean recordProbe(String upstream, boolean connected) {
    boolean last = probed.remove(upstream) && probed.isEmpty();
    boolean wasCutOff = cutOff;
    if (connected) {
      probed.clear();
      failedAtMs.clear();
      cutOff = false;
      nextRoundMs = clock.nowMs() + SOUND_INTERVAL_MS;
    } else if (last) {
      cutOff = true;
      nextRoundMs = clock.nowMs() + CUT_INTERVAL_MS;
    }
    return cutOff != wasCutOff;
  }
}
