package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import org.foxtailford.core.util.Assert;

/**
 * Part of a request's body, with its place in the body.
 *
 * @param bytes bytes of the part; who takes the part must release them
 * @param offset number of bytes of the body before this part
 * @param last whether the body ends with this part
 */
public record BodyPart(ByteBuf bytes, long offset, boolean last) {

  /** Checks the fields. */
  public BodyPart {
    Assert.notNull(bytes, "bytes");
    Assert.isTrue(offset >= 0, "offset must not be negative");
  }

  /** Returns the number of bytes of the body up to the end of this part, which is not sent yet. */
  long endOffset() {
    return offset + bytes.readableBytes();
  }

  /** Releases the bytes of a part that is not used. */
  public void release() {
    bytes.release();
  }
}
