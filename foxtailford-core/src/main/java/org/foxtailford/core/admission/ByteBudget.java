package org.foxtailford.core.admission;

import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.util.Assert;

/** Limits the total memory of the bodies in flight. Thread-safe. */
public final class ByteBudget {

  private final long maxBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  public ByteBudget(long maxBytes) {
    Assert.isTrue(maxBytes >= 0, "maxBytes must not be negative");
    this.maxBytes = maxBytes;
  }

  /** Reserves memory, or returns false without a reservation if the limit would be exceeded. */
  public boolean tryReserve(long bytes) {
    long newReservedBytes = reservedBytes.addAndGet(bytes);
    if (newReservedBytes > maxBytes) {
      reservedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Releases the given number of reserved bytes. */
  public void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** Returns the reserved memory, in bytes. */
  public long reservedBytes() {
    return reservedBytes.get();
  }
}
