package org.foxtailford.core.overload;

import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.foxtailford.core.upstream.LoadReport;
import org.foxtailford.core.util.Assert;

/**
 * Paces the requests of this entry VM to an overloaded upstream that is the only owner of its keys.
 *
 * <p>While the upstream is considered full, each entry VM sends one request per interval, the time
 * in which the upstream completes about one request for each of them. Together they send slightly
 * more than its capacity, without exchanging messages. Handles a hot key behind many entry VMs:
 * each knows only its own requests and outdated load reports, so that without pacing their sum
 * would overflow any queue, and a request rejected there has used up a connection and a retry. Not
 * thread-safe.
 */
public final class SendPacer {

  /** Minimum time for which an upstream stays full once detected, in milliseconds. */
  private static final long MIN_FULL_MS = 2000;

  /**
   * Number of send intervals for which the upstream stays full: by then each VM has sent a request
   * and has newer information about the load.
   */
  private static final double FULL_INTERVALS = 1.5;

  /** Requests at an upstream from which it is full, as a multiple of its slots. */
  private static final double FULL_LOAD_FACTOR = 2.5;

  /**
   * Combined send rate of all VMs relative to the upstream's capacity. It is above 1 because not
   * every VM has requests to send in each interval.
   */
  private static final double OVERCOMMIT_FACTOR = 1.25;

  /** Lower bound of the random factor on an interval; it keeps VMs from sending simultaneously. */
  private static final double MIN_JITTER_FACTOR = 0.75;

  private final DoubleSupplier random;
  private long fullUntilMs = Long.MIN_VALUE;
  private long nextSendMs = Long.MIN_VALUE;

  /**
   * Creates a pacer for an upstream that is not full.
   *
   * @param random source of numbers from 0 to 1, for jitter
   */
  public SendPacer(DoubleSupplier random) {
    this.random = Assert.notNull(random, "random");
  }

  /**
   * Returns the average interval between two requests of one entry VM, in milliseconds.
   *
   * @param workMs service time of a request at the upstream, in milliseconds
   * @param slots requests that the upstream processes concurrently
   * @param entryVms number of entry VMs that send to the upstream
   */
  public static double intervalMs(double workMs, int slots, int entryVms) {
    return workMs * entryVms / (OVERCOMMIT_FACTOR * Math.max(1, slots));
  }

  /**
   * Updates the full state from a load report of the upstream.
   *
   * @param intervalMs current send interval, in milliseconds
   */
  public void recordReport(LoadReport report, double intervalMs, long nowMs) {
    int requests = report.running() + report.waiting();
    if (requests < report.slots()) {
      fullUntilMs = Long.MIN_VALUE;
    } else if (requests >= FULL_LOAD_FACTOR * report.slots()) {
      recordFull(intervalMs, nowMs);
    }
  }

  /** Records that the upstream is full, for example after it rejected a request. */
  public void recordFull(double intervalMs, long nowMs) {
    if (!isFull(nowMs)) {
      nextSendMs = nowMs + (long) (random.getAsDouble() * intervalMs);
    }
    fullUntilMs = nowMs + Math.max(MIN_FULL_MS, (long) (FULL_INTERVALS * intervalMs));
  }

  /**
   * Records that the upstream rejected a request. One that states its load is paced by {@link
   * #recordReport} alone: it may reject for other reasons than lack of capacity, and pacing would
   * then only leave it idle.
   *
   * @param statedLoad load that the rejection states; empty if it states none
   */
  public void recordRejection(Optional<LoadReport> statedLoad, double intervalMs, long nowMs) {
    if (statedLoad.isEmpty()) {
      recordFull(intervalMs, nowMs);
    }
  }

  /** Returns whether the upstream is considered full, so that sends are paced. */
  public boolean isFull(long nowMs) {
    return nowMs < fullUntilMs;
  }

  /** Returns when this VM may send its next request, in milliseconds; {@code nowMs} if not full. */
  public long nextSendMs(long nowMs) {
    return isFull(nowMs) ? Math.max(nowMs, Math.min(nextSendMs, fullUntilMs)) : nowMs;
  }

  /** Records a sent request and schedules the next one after a jittered interval. */
  public void recordSend(double intervalMs, long nowMs) {
    double jitter = MIN_JITTER_FACTOR + 2 * (1 - MIN_JITTER_FACTOR) * random.getAsDouble();
    nextSendMs = nowMs + (long) (jitter * intervalMs);
  }
}
