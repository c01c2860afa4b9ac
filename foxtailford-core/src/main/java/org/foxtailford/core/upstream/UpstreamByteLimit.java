package org.foxtailford.core.upstream;

import java.util.OptionalLong;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Limits the body bytes of this entry VM's requests at one upstream, after the upstream has ended
 * while it held requests.
 *
 * <p>There is no limit before the first such end. Each VM then halves the bytes that it had there
 * itself: the bytes of all VMs add up to what the upstream held, so that their halves add up to
 * half of it, without exchanging messages. Handles uploads that together exceed an upstream's
 * memory, so that it would end again with each new set of them. Not thread-safe.
 */
public final class UpstreamByteLimit {

  /** Time after which a limit rises, in milliseconds. */
  private static final long RISE_INTERVAL_MS = 10_000;

  private static final double RISE_FACTOR = 1.1;

  /**
   * Bytes of lost requests from which the end is attributed to them: an upstream that ends with
   * less has another problem, and a limit of a few bytes would keep all bodies from it.
   */
  private static final long MIN_LOST_BYTES = 64 << 10;

  /** Limit from which there is none; more than an entry VM can send. */
  private static final long FORGET_BYTES = 1L << 30;

  /** Time between two lost connections of the same end, in milliseconds. */
  private static final long BURST_MS = 250;

  /**
   * Time from the last lost connection until it is known that the upstream ended, in milliseconds;
   * a restart is known only from the registration.
   */
  private static final long MAX_JUDGEMENT_MS = 3000;

  private final MillisClock clock;
  private long heldBytes;
  private long lostBytes;
  private long largestLostBytes;
  private long lostMs;
  private double limitBytes = Double.POSITIVE_INFINITY;
  private long changedMs;

  /** Creates a limit that is not in force. */
  public UpstreamByteLimit(MillisClock clock) {
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Records bytes of a request that is sent to the upstream. */
  public void add(long bytes) {
    heldBytes += bytes;
  }

  /** Records that the upstream no longer holds bytes. */
  public void release(long bytes) {
    heldBytes -= bytes;
  }

  /** Returns the bytes that this VM has at the upstream. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Records that the connection of a request with a body of some bytes was lost. */
  public void recordLoss(long bytes) {
    long nowMs = clock.nowMs();
    if (nowMs - lostMs > BURST_MS) {
      lostBytes = 0;
      largestLostBytes = 0;
    }
    lostBytes += bytes;
    largestLostBytes = Math.max(largestLostBytes, bytes);
    lostMs = nowMs;
  }

  /**
   * Records that the upstream has ended, which lowers the limit if requests were lost.
   *
   * @return the new limit in bytes; empty if it is unchanged
   */
  public OptionalLong recordEnd() {
    long nowMs = clock.nowMs();
    boolean lost = lostBytes >= MIN_LOST_BYTES && nowMs - lostMs <= MAX_JUDGEMENT_MS;
    if (!lost) {
      return OptionalLong.empty();
    }
    limitBytes = Math.max(lostBytes / 2, largestLostBytes);
    changedMs = nowMs;
    lostBytes = 0;
    return OptionalLong.of((long) limitBytes);
  }

  /** Returns the limit in bytes; empty if there is none. */
  public OptionalLong limitBytes() {
    long steps = (clock.nowMs() - changedMs) / RISE_INTERVAL_MS;
    double current = limitBytes * Math.pow(RISE_FACTOR, steps);
    return current < FORGET_BYTES ? OptionalLong.of((long) current) : OptionalLong.empty();
  }

  /**
   * Returns whether a request may be sent. One without a body always may; one with a body also if
   * it is the only one there, however large.
   */
  public boolean hasRoom(long bytes) {
    if (bytes == 0 || heldBytes == 0 || limitBytes == Double.POSITIVE_INFINITY) {
      return true;
    }
    OptionalLong limit = limitBytes();
    return limit.isEmpty() || heldBytes + bytes <= limit.getAsLong();
  }
}
