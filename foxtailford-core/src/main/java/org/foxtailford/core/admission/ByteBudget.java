package org.foxtailford.core.admission;

import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.util.Assert;

/** Bounds the memory that bodies in flight take together. Thread-safe. */
public final class ByteBudget {

  private final long maxBytes;
  private final AtomicLong used = new AtomicLong();

  public ByteBudget(long maxBytes) {
    Assert.isTrue(maxBytes >= 0, "maxBytes must not be negative");
    this.maxBytes = maxBytes;
  }

  /** Reserves memory; returns false and reserves nothing if it would go over the bound. */
  public boolean tryReserve(long bytes) {
    long after = used.addAndGet(bytes);
    if (after > maxBytes) {
      used.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Gives reserved memory back. */
  public void release(long bytes) {
    used.addAndGet(-bytes);
  }

  /** Returns the reserved memory, in bytes. */
  public long usedBytes() {
    return used.get();
  }
}
