package org.foxtailford.core.overload;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.core.util.Assert;

/**
 * Limits the bytes that are buffered for many holders together, and divides them fairly.
 *
 * <p>A holder below its fair share may grow while the budget has room. One above it may grow only
 * while a quarter of the budget is free, so that holders that come later find room. Room that
 * becomes free goes to the waiting holders below their share first, in the order of their waiting.
 * A holder of no bytes may always grow by one read, so that fast callers do not wait for slow ones.
 * Handles uploads that stall and thousands of callers that read slowly. Not thread-safe.
 */
public final class ByteBudget {

  /**
   * Bytes set aside for a holder that is told of room, until its next bytes arrive; the size of one
   * read from an upstream.
   */
  public static final int READ_BYTES = 16 << 10;

  /** Fraction of the budget up to which a holder above its fair share may grow. */
  private static final double GENEROUS_FRACTION = 0.75;

  /** Held bytes, as a multiple of the budget, from which the largest holder is cut off. */
  private static final int MAX_OVERDRAFT_FACTOR = 2;

  private final long maxBytes;
  private final long shareBytes;
  private final Set<Share> holders = new HashSet<>();
  private final Set<Share> waitingBelowShare = new LinkedHashSet<>();
  private final Set<Share> waitingAboveShare = new LinkedHashSet<>();
  private long heldBytes;
  private long refusals;
  private long cuts;

  /**
   * Creates an unused budget.
   *
   * @param maxBytes size of the budget
   * @param shares number of equal parts; one of them is the fair share of a holder
   */
  public ByteBudget(long maxBytes, int shares) {
    Assert.isTrue(maxBytes > 0, "maxBytes must be positive");
    Assert.isTrue(shares > 0, "shares must be positive");
    this.maxBytes = maxBytes;
    this.shareBytes = maxBytes / shares;
  }

  /**
   * Returns a holder of no bytes.
   *
   * @param onRoom called when the holder was denied growth and may grow now
   * @param onCut called when the holder has to end because the budget is overdrawn
   */
  public Share open(Runnable onRoom, Runnable onCut) {
    return new Share(onRoom, onCut);
  }

  /** Returns the bytes of all holders. */
  public long heldBytes() {
    return heldBytes;
  }

  /** Returns whether more bytes fit. */
  public boolean hasRoom() {
    return heldBytes < maxBytes;
  }

  /** Returns the number of holders that wait for room. */
  public int waiting() {
    return waitingBelowShare.size() + waitingAboveShare.size();
  }

  /** Returns the number of reservations that were refused since the start. */
  public long refusals() {
    return refusals;
  }

  /** Returns the number of holders that were cut off since the start. */
  public long cuts() {
    return cuts;
  }

  private void grantRoom() {
    while (heldBytes < maxBytes && !waitingBelowShare.isEmpty()) {
      waitingBelowShare.iterator().next().grant();
    }
    while (heldBytes < GENEROUS_FRACTION * maxBytes
        && waitingBelowShare.isEmpty()
        && !waitingAboveShare.isEmpty()) {
      waitingAboveShare.iterator().next().grant();
    }
  }

  private void cutLargest() {
    Optional<Share> largest =
        holders.stream().max(Comparator.comparingLong(holder -> holder.ownBytes));
    largest.ifPresent(
        share -> {
          cuts++;
          share.close();
          share.onCut.run();
        });
  }

  /** The bytes of one holder. */
  public final class Share {

    private final Runnable onRoom;
    private final Runnable onCut;
    private long ownBytes;
    private long advanceBytes;
    private boolean closed;

    private Share(Runnable onRoom, Runnable onCut) {
      this.onRoom = Assert.notNull(onRoom, "onRoom");
      this.onCut = Assert.notNull(onCut, "onCut");
    }

    /** Returns the bytes of this holder. */
    public long heldBytes() {
      return ownBytes;
    }

    /** Reserves bytes before they are read; returns false if the budget has no room for them. */
    public boolean tryReserve(long bytes) {
      if (heldBytes + bytes > maxBytes) {
        refusals++;
        return false;
      }
      change(bytes);
      return true;
    }

    /**
     * Adds bytes that were already read. If that overdraws the budget to twice its size, the holder
     * of most bytes is cut off.
     */
    public void add(long bytes) {
      if (closed) {
        return;
      }
      change(bytes - advanceBytes);
      advanceBytes = 0;
      if (heldBytes > MAX_OVERDRAFT_FACTOR * maxBytes) {
        cutLargest();
      }
    }

    /** Releases bytes, which may let waiting holders grow. */
    public void release(long bytes) {
      if (closed) {
        return;
      }
      change(-bytes);
      if (waitingAboveShare.contains(this) && ownBytes < shareBytes) {
        waitingAboveShare.remove(this);
        waitingBelowShare.add(this);
      }
      if (ownBytes <= 0 && waitingBelowShare.contains(this)) {
        grant();
      }
      grantRoom();
    }

    /** Returns whether the holder may grow; if not, it is told when it may. */
    public boolean mayGrow() {
      boolean below = ownBytes < shareBytes;
      boolean room =
          below
              ? heldBytes < maxBytes
              : heldBytes < GENEROUS_FRACTION * maxBytes && waitingBelowShare.isEmpty();
      if (closed || ownBytes <= 0 || room) {
        return true;
      }
      (below ? waitingBelowShare : waitingAboveShare).add(this);
      return false;
    }

    /** Releases all bytes of this holder. */
    public void close() {
      if (!closed) {
        waitingBelowShare.remove(this);
        waitingAboveShare.remove(this);
        change(-ownBytes);
        closed = true;
        grantRoom();
      }
    }

    private void grant() {
      waitingBelowShare.remove(this);
      waitingAboveShare.remove(this);
      change(READ_BYTES - advanceBytes);
      advanceBytes = READ_BYTES;
      onRoom.run();
    }

    private void change(long bytes) {
      ownBytes += bytes;
      heldBytes += bytes;
      if (ownBytes > 0) {
        holders.add(this);
      } else {
        holders.remove(this);
      }
    }
  }
}
