package org.foxtailford.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Arrays;

/**
 * Decides which bytes are the head of an answer, before a field of it is read.
 *
 * <p>A head is a status line of HTTP/1 with a status of three digits from 100 on, field lines and
 * an empty line. Empty lines ahead, further blanks in the status line and folded values are
 * accepted too, as RFC 9112 allows. The reason phrase is not checked, since it is not passed on.
 * Confined to one thread.
 */
final class AnswerHeadScanner {

  /** Size of a status line, and of all fields together, that a decoder should accept, in bytes. */
  static final int MAX_PART_BYTES = 64 << 10;

  private static final byte[] PROTOCOL = {'H', 'T', 'T', 'P', '/', '1', '.'};
  private static final int STATUS_DIGITS = 3;
  private static final boolean[] IN_NAME = new boolean[256];
  private static final boolean[] IN_VALUE = new boolean[256];

  static {
    Arrays.fill(IN_NAME, '0', '9' + 1, true);
    Arrays.fill(IN_NAME, 'A', 'Z' + 1, true);
    Arrays.fill(IN_NAME, 'a', 'z' + 1, true);
    "!#$%&'*+-.^_`|~".chars().forEach(character -> IN_NAME[character] = true);
    Arrays.fill(IN_VALUE, ' ', IN_VALUE.length, true);
    IN_VALUE['\t'] = true;
    IN_VALUE[0x7f] = false;
  }

  private int scannedBytes;
  private int lines;

  /** Prepares for the next head. */
  void reset() {
    scannedBytes = 0;
    lines = 0;
  }

  /** Returns whether the status line of the current head was received. */
  boolean hasStatusLine() {
    return lines > 0;
  }

  /**
   * Scans the lines received since the last call and returns whether the head is complete. The
   * buffer is not read from: its reader index remains at the beginning of the head.
   *
   * @throws IllegalArgumentException if the bytes are not the head of an answer
   * @throws TooLongFrameException if the head has no end within the limit
   */
  boolean scan(ByteBuf buffer) {
    int length = buffer.readableBytes();
    boolean direct = buffer.hasArray();
    byte[] bytes = direct ? buffer.array() : ByteBufUtil.getBytes(buffer);
    int first = direct ? buffer.arrayOffset() + buffer.readerIndex() : 0;
    int begin = first + scannedBytes;
    for (int i = begin; i < first + length; i++) {
      if (bytes[i] != '\n') {
        continue;
      }
      if (i == begin || bytes[i - 1] != '\r') {
        throw new IllegalArgumentException("a line feed without a carriage return");
      }
      if (i - 1 > begin) {
        checkLine(bytes, begin, i - 1);
        lines++;
      } else if (hasStatusLine()) {
        return true;
      }
      begin = i + 1;
      scannedBytes = begin - first;
    }
    if (length > 2 * MAX_PART_BYTES) {
      throw new TooLongFrameException("no end of the head in " + length + " bytes");
    }
    return false;
  }

  private void checkLine(byte[] bytes, int begin, int end) {
    boolean folded = lines > 1 && isBlank(bytes[begin]);
    if (!hasStatusLine()) {
      checkStatusLine(bytes, begin, end);
    } else if (folded) {
      checkValue(bytes, begin, end);
    } else {
      checkField(bytes, begin, end);
    }
  }

  private static void checkStatusLine(byte[] bytes, int begin, int end) {
    int version = skipBlanks(bytes, begin, end);
    int versionEnd = version + PROTOCOL.length + 1;
    if (end <= versionEnd
        || !Arrays.equals(bytes, version, versionEnd - 1, PROTOCOL, 0, PROTOCOL.length)
        || !isDigit(bytes[versionEnd - 1])
        || !isBlank(bytes[versionEnd])) {
      throw new IllegalArgumentException("the first line begins with no version of HTTP/1");
    }
    int status = skipBlanks(bytes, versionEnd, end);
    int statusEnd = status;
    while (statusEnd < end && isDigit(bytes[statusEnd])) {
      statusEnd++;
    }
    boolean delimited = statusEnd == end || isBlank(bytes[statusEnd]);
    if (statusEnd - status != STATUS_DIGITS || bytes[status] == '0' || !delimited) {
      throw new IllegalArgumentException("the status is not three digits from 100 on");
    }
  }

  private static int skipBlanks(byte[] bytes, int begin, int end) {
    int next = begin;
    while (next < end && isBlank(bytes[next])) {
      next++;
    }
    return next;
  }

  private static void checkField(byte[] bytes, int begin, int end) {
    int nameEnd = begin;
    while (nameEnd < end && IN_NAME[bytes[nameEnd] & 0xff]) {
      nameEnd++;
    }
    if (nameEnd == end) {
      throw new IllegalArgumentException("a field without a colon");
    }
    if (nameEnd == begin) {
      throw new IllegalArgumentException("a field without a name");
    }
    checkNameEnd(bytes[nameEnd]);
    checkValue(bytes, nameEnd + 1, end);
  }

  private static void checkValue(byte[] bytes, int begin, int end) {
    for (int i = begin; i < end; i++) {
      if (!IN_VALUE[bytes[i] & 0xff]) {
        throw new IllegalArgumentException(
            "byte 0x%02x in the value of a field".formatted(bytes[i]));
      }
    }
  }

  /**
   * Checks the byte after the name of a field.
   *
   * @throws IllegalArgumentException if it is no colon
   */
  static void checkNameEnd(byte next) {
    if (next != ':') {
      throw new IllegalArgumentException("byte 0x%02x after the name of a field".formatted(next));
    }
  }

  private static boolean isBlank(byte character) {
    return character == ' ' || character == '\t';
  }

  private static boolean isDigit(byte character) {
    return character >= '0' && character <= '9';
  }
}
