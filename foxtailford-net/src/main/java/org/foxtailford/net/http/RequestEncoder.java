package org.foxtailford.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests with the bytes of the target as they were received. {@link RequestDecoder} reads
 * each byte as one character, which UTF-8 would write as two if it is outside ASCII.
 */
public final class RequestEncoder extends HttpRequestEncoder {

  private static final int CRLF = '\r' << 8 | '\n';

  /** Creates an encoder for one connection. */
  public RequestEncoder() {}

  @Override
  protected void encodeInitialLine(ByteBuf line, HttpRequest request) {
    line.writeCharSequence(request.method().name(), StandardCharsets.US_ASCII);
    line.writeByte(' ');
    line.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
    line.writeByte(' ');
    line.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
    ByteBufUtil.writeShortBE(line, CRLF);
  }
}
