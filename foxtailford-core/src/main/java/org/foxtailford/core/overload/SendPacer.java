package org.foxtailford.core.overload;

import java.util.function.DoubleSupplier;
import org.foxtailford.core.upstream.LoadReport;
import org.foxtailford.core.util.Assert;

/**
 * This VM's turns at an upstream that alone owns its keys and has more requests than it can bear.
 *
 * <p>While such an upstream is seen full, each entry VM sends it one request in the time in which
 * the upstream does one for each of them, so that together they send little more than it can do,
 * without a message between them. Answers the load pattern of a hot key behind many entry VMs: each
 * of them knows only its own requests and old reports, so that their sum would fill any queue, and
 * what is shed there has used up a connection and a retry. Not thread-safe.
 */
public final class SendPacer {

  /** Least time for which an upstream that was seen full counts as full, in milliseconds. */
  private static final long FULL_MS = 2000;

  /** Turns for which it counts as full: each VM has had one and knows more by then. */
  private static final double FULL_TURNS = 1.5;

  /** Requests at an upstream, in times of its slots, from which it counts as full. */
  private static final double FULL_FACTOR = 2.5;

  /**
   * How much more than the upstream can do the VMs send together: not all of them have requests.
   */
  private static final double OVERBOOKED = 1.25;

  /** Least part of a turn's length: turns differ, so that VMs do not come at the same moment. */
  private static final double LEAST_SPREAD = 0.75;

  private final DoubleSupplier random;
  private long fullUntilMs = Long.MIN_VALUE;
  private long nextSendMs = Long.MIN_VALUE;

  /** Creates turns at an upstream that was not seen full, with a source of numbers from 0 to 1. */
  public SendPacer(DoubleSupplier random) {
    this.random = Assert.notNull(random, "random");
  }

  /**
   * Returns the length of a turn, in milliseconds.
   *
   * @param workMs time that the upstream takes for a request, in milliseconds
   * @param slots requests that it works on at once
   * @param entryVms entry VMs that send to it
   */
  public static double intervalMs(double workMs, int slots, int entryVms) {
    return workMs * entryVms / (OVERBOOKED * Math.max(1, slots));
  }

  /** Takes a report of the upstream. */
  public void recordReport(LoadReport report, double intervalMs, long nowMs) {
    int present = report.running() + report.waiting();
    if (present < report.slots()) {
      fullUntilMs = Long.MIN_VALUE;
    } else if (present >= FULL_FACTOR * report.slots()) {
      recordFull(intervalMs, nowMs);
    }
  }

  /** Notes that the upstream turned a request away for lack of room. */
  public void recordFull(double intervalMs, long nowMs) {
    if (!isFull(nowMs)) {
      nextSendMs = nowMs + (long) (random.getAsDouble() * intervalMs);
    }
    fullUntilMs = nowMs + Math.max(FULL_MS, (long) (FULL_TURNS * intervalMs));
  }

  /** Returns whether the upstream was seen full, so that turns count. */
  public boolean isFull(long nowMs) {
    return nowMs < fullUntilMs;
  }

  /** Returns when this VM may send the next request, in milliseconds; now if there is room. */
  public long nextSendMs(long nowMs) {
    return isFull(nowMs) ? Math.max(nowMs, Math.min(nextSendMs, fullUntilMs)) : nowMs;
  }

  /** Notes that this VM sends a request. */
  public void recordSend(double intervalMs, long nowMs) {
    double spread = LEAST_SPREAD + 2 * (1 - LEAST_SPREAD) * random.getAsDouble();
    nextSendMs = nowMs + (long) (spread * intervalMs);
  }
}
