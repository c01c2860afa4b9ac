package org.foxtailford.core.overload;

import java.util.function.DoubleSupplier;
import org.foxtailford.core.util.Assert;

/**
 * Limits this entry VM's sends to an upstream that has named the requests per second which it takes
 * from all VMs together.
 *
 * <p>Each VM sends its equal share, without exchanging messages, from a random moment on, so that
 * many VMs that learn of a limit at the same time do not send at the same time. The limit is in
 * force for as long as the upstream names it. Handles an upstream in need that many VMs feed, each
 * of which sees little of its load. Not thread-safe.
 */
public final class StatedRateLimit {

  /**
   * Time after the last answer with a limit in which one without it does not end it, in
   * milliseconds; answers on several connections overtake each other.
   */
  private static final long MIN_STATED_MS = 250;

  /** Time without any answer after which a limit is forgotten, in milliseconds. */
  private static final long MEMORY_MS = 10_000;

  /** Number of send intervals for which a limit is remembered at least. */
  private static final int MEMORY_INTERVALS = 2;

  /**
   * Lowest rate of all VMs together, per second; an upstream that takes nothing must still be asked
   * whether that has ended.
   */
  private static final double MIN_PER_SECOND = 0.2;

  private final DoubleSupplier random;
  private double perSecond = Double.POSITIVE_INFINITY;
  private long statedMs;
  private long firstSendMs = Long.MIN_VALUE;
  private long lastSendMs = Long.MIN_VALUE / 2;

  /**
   * Creates a limit that is not in force.
   *
   * @param random source of numbers from 0 to 1
   */
  public StatedRateLimit(DoubleSupplier random) {
    this.random = Assert.notNull(random, "random");
  }

  /**
   * Records an answer that names a limit, which replaces an earlier one.
   *
   * @param newPerSecond requests per second from all VMs together; not negative
   * @param entryVms number of VMs that share it
   * @return whether no limit was in force
   */
  public boolean record(double newPerSecond, int entryVms, long nowMs) {
    Assert.isTrue(newPerSecond >= 0, "newPerSecond must not be negative");
    boolean begins = !isInForce(entryVms, nowMs);
    perSecond = Math.max(MIN_PER_SECOND, newPerSecond);
    statedMs = nowMs;
    if (begins) {
      firstSendMs = nowMs + (long) (random.getAsDouble() * intervalMs(entryVms));
    }
    return begins;
  }

  /**
   * Records an answer that names no limit.
   *
   * @return whether this ends a limit
   */
  public boolean recordNone(long nowMs) {
    boolean ends = perSecond < Double.POSITIVE_INFINITY && nowMs - statedMs >= MIN_STATED_MS;
    if (ends) {
      perSecond = Double.POSITIVE_INFINITY;
    }
    return ends;
  }

  /** Records a sent request, whether a limit is in force or not. */
  public void recordSend(long nowMs) {
    lastSendMs = nowMs;
  }

  /** Returns whether a limit is in force. */
  public boolean isInForce(int entryVms, long nowMs) {
    double memoryMs = Math.max(MEMORY_MS, MEMORY_INTERVALS * intervalMs(entryVms));
    return perSecond < Double.POSITIVE_INFINITY && nowMs - statedMs < memoryMs;
  }

  /** Returns when this VM may send its next request, in milliseconds; {@code nowMs} if at once. */
  public long nextSendMs(int entryVms, long nowMs) {
    return isInForce(entryVms, nowMs)
        ? Math.max(nowMs, Math.max(firstSendMs, lastSendMs + (long) intervalMs(entryVms)))
        : nowMs;
  }

  /** Returns the requests per second of all VMs together; infinite while no limit is in force. */
  public double perSecond(int entryVms, long nowMs) {
    return isInForce(entryVms, nowMs) ? perSecond : Double.POSITIVE_INFINITY;
  }

  private double intervalMs(int entryVms) {
    return 1000.0 * Math.max(1, entryVms) / perSecond;
  }
}
