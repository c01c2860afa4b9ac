package org.foxtailford.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ByteProcessor;
import java.util.BitSet;

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

  private static final byte LINE_FEED = '\n';
  private static final byte[] PROTOCOL = {'H', 'T', 'T', 'P', '/', '1', '.'};
  private static final int STATUS_DIGITS = 3;
  private static final BitSet NAME_CHARACTERS = new BitSet();

  static {
    NAME_CHARACTERS.set('0', '9' + 1);
    NAME_CHARACTERS.set('A', 'Z' + 1);
    NAME_CHARACTERS.set('a', 'z' + 1);
    "!#$%&'*+-.^_`|~".chars().forEach(NAME_CHARACTERS::set);
  }

  private static final ByteProcessor BLANK = AnswerHeadScanner::isBlank;
  private static final ByteProcessor DIGIT = AnswerHeadScanner::isDigit;
  private static final ByteProcessor IN_NAME = AnswerHeadScanner::isInName;
  private static final ByteProcessor IN_VALUE = AnswerHeadScanner::isInValue;

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
    int begin = buffer.readerIndex() + scannedBytes;
    int lineFeed = buffer.indexOf(begin, buffer.writerIndex(), LINE_FEED);
    while (lineFeed >= 0) {
      int end = lineFeed - 1;
      if (end < begin || buffer.getByte(end) != '\r') {
        throw new IllegalArgumentException("a line feed without a carriage return");
      }
      if (end > begin) {
        checkLine(buffer, begin, end);
        lines++;
      } else if (hasStatusLine()) {
        return true;
      }
      begin = lineFeed + 1;
      scannedBytes = begin - buffer.readerIndex();
      lineFeed = buffer.indexOf(begin, buffer.writerIndex(), LINE_FEED);
    }
    if (buffer.readableBytes() > 2 * MAX_PART_BYTES) {
      throw new TooLongFrameException("no end of the head in " + buffer.readableBytes() + " bytes");
    }
    return false;
  }

  private void checkLine(ByteBuf buffer, int begin, int end) {
    boolean folded = lines > 1 && isBlank(buffer.getByte(begin));
    if (!hasStatusLine()) {
      checkStatusLine(buffer, begin, end);
    } else if (folded) {
      checkValue(buffer, begin, end);
    } else {
      checkField(buffer, begin, end);
    }
  }

  private static void checkStatusLine(ByteBuf buffer, int begin, int end) {
    int version = skip(buffer, begin, end, BLANK);
    int versionEnd = version + PROTOCOL.length + 1;
    if (end <= versionEnd
        || !hasProtocol(buffer, version)
        || !isDigit(buffer.getByte(versionEnd - 1))
        || !isBlank(buffer.getByte(versionEnd))) {
      throw new IllegalArgumentException("the first line begins with no version of HTTP/1");
    }
    int status = skip(buffer, versionEnd, end, BLANK);
    int statusEnd = skip(buffer, status, end, DIGIT);
    boolean delimited = statusEnd == end || isBlank(buffer.getByte(statusEnd));
    if (statusEnd - status != STATUS_DIGITS || buffer.getByte(status) == '0' || !delimited) {
      throw new IllegalArgumentException("the status is not three digits from 100 on");
    }
  }

  /** Returns the index of the first byte that is not to be skipped, or the end. */
  private static int skip(ByteBuf buffer, int begin, int end, ByteProcessor skipped) {
    int next = buffer.forEachByte(begin, end - begin, skipped);
    return next < 0 ? end : next;
  }

  private static boolean hasProtocol(ByteBuf buffer, int begin) {
    for (int i = 0; i < PROTOCOL.length; i++) {
      if (buffer.getByte(begin + i) != PROTOCOL[i]) {
        return false;
      }
    }
    return true;
  }

  private static void checkField(ByteBuf buffer, int begin, int end) {
    int nameEnd = skip(buffer, begin, end, IN_NAME);
    if (nameEnd == end) {
      throw new IllegalArgumentException("a field without a colon");
    }
    if (nameEnd == begin) {
      throw new IllegalArgumentException("a field without a name");
    }
    checkNameEnd(buffer.getByte(nameEnd));
    checkValue(buffer, nameEnd + 1, end);
  }

  private static void checkValue(ByteBuf buffer, int begin, int end) {
    int illegal = skip(buffer, begin, end, IN_VALUE);
    if (illegal < end) {
      throw new IllegalArgumentException(
          "byte 0x%02x in the value of a field".formatted(buffer.getByte(illegal)));
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

  private static boolean isInName(byte character) {
    return character > 0 && NAME_CHARACTERS.get(character);
  }

  private static boolean isInValue(byte character) {
    return character < 0 || character >= ' ' && character != 0x7f || character == '\t';
  }

  private static boolean isBlank(byte character) {
    return character == ' ' || character == '\t';
  }

  private static boolean isDigit(byte character) {
    return character >= '0' && character <= '9';
  }
}
