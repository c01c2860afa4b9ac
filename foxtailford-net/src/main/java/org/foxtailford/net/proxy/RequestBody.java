package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.foxtailford.core.overload.ByteBudget;

/**
 * Buffered part of a request's body, within the budget of all bodies.
 *
 * <p>Its bytes are copied into one array of the reserved size: parts as received are slices of read
 * buffers, which may be many times larger than what a caller sends in small pieces.
 */
final class RequestBody {

  /** Bytes by which the reservation for a body of unknown length grows. */
  static final int STEP_BYTES = 64 << 10;

  /** Most that is reserved: what is buffered, and one read that exceeds it. */
  private static final int MAX_RESERVED_BYTES =
      CallerConnection.MAX_BUFFERED_BODY_BYTES + STEP_BYTES;

  private final ByteBudget.Share share;
  private ByteBuf buffer = Unpooled.EMPTY_BUFFER;
  private int reservedBytes;

  RequestBody(ByteBudget budget) {
    this.share = budget.open(() -> {}, () -> {});
  }

  /**
   * Reserves space before the body is read.
   *
   * @param length length of the body in bytes; negative if it is not known
   * @return whether the budget has room
   */
  boolean tryReserve(long length) {
    return tryReserveUpTo(length < 0 ? STEP_BYTES : Math.min(length, MAX_RESERVED_BYTES));
  }

  private boolean tryReserveUpTo(long bytes) {
    if (bytes > reservedBytes) {
      if (!share.tryReserve(bytes - reservedBytes)) {
        return false;
      }
      reservedBytes = (int) bytes;
    }
    return true;
  }

  /**
   * Copies and releases a part of the body.
   *
   * @return false if the budget has no room for it
   */
  boolean tryAdd(ByteBuf part) {
    try {
      int bytes = buffer.readableBytes() + part.readableBytes();
      int steps = (bytes + STEP_BYTES - 1) / STEP_BYTES;
      if (bytes > reservedBytes && !tryReserveUpTo((long) steps * STEP_BYTES)) {
        return false;
      }
      if (part.isReadable()) {
        if (buffer.capacity() == 0) {
          buffer = Unpooled.buffer(reservedBytes);
        } else if (buffer.capacity() < reservedBytes) {
          buffer.capacity(reservedBytes);
        }
        buffer.writeBytes(part);
      }
      return true;
    } finally {
      part.release();
    }
  }

  int readableBytes() {
    return buffer.readableBytes();
  }

  /** Returns the buffered bytes; the caller of this method must release them. */
  ByteBuf retained() {
    return buffer.retainedDuplicate();
  }

  /** Releases the bytes and their reservation. */
  void release() {
    share.close();
    if (buffer.refCnt() > 0) {
      buffer.release();
    }
  }
}
