package org.foxtailford.net.proxy;

import java.util.OptionalLong;
import org.foxtailford.core.util.Assert;

/**
 * Compares what is sent of a request's body with the body that was announced.
 *
 * <p>Whoever drops a part of a body can't make the upstream take the rest for the whole: the parts
 * must follow each other without a gap, and the last one must end at the announced length. Confined
 * to the event loop.
 */
final class AnnouncedBody {

  private final OptionalLong length;
  private long sentBytes;
  private boolean ended;
  private boolean refused;

  /**
   * Creates a body of which nothing is sent.
   *
   * @param length length in bytes; empty if the last part tells it
   */
  AnnouncedBody(OptionalLong length) {
    this.length = Assert.notNull(length, "length");
  }

  /**
   * Counts a part that is about to be sent.
   *
   * @return false if it must not be sent, nor any part after it
   */
  boolean tryAdd(BodyPart part) {
    refused = refused || ended || part.offset() != sentBytes || !keepsToLength(part);
    if (!refused) {
      sentBytes = part.endOffset();
      ended = part.last();
    }
    return !refused;
  }

  private boolean keepsToLength(BodyPart part) {
    if (length.isEmpty()) {
      return true;
    }
    return part.last()
        ? part.endOffset() == length.getAsLong()
        : part.endOffset() <= length.getAsLong();
  }

  OptionalLong length() {
    return length;
  }

  long sentBytes() {
    return sentBytes;
  }
}
