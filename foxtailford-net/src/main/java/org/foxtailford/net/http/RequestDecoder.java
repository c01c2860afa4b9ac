package org.foxtailford.net.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes requests and rejects those that two HTTP implementations could frame differently (request
 * smuggling): with both Content-Length and Transfer-Encoding, with several Content-Length fields,
 * with a transfer coding other than chunked, or with a bare line feed as line end.
 */
public final class RequestDecoder extends HttpRequestDecoder {

  /** Creates a decoder; the header limit applies to the request line and to the fields, each. */
  public RequestDecoder(HttpLimits limits) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setAllowDuplicateContentLengths(false)
            .setUseRfc9112TransferEncoding(true)
            .setStrictLineParsing(true));
  }

  /**
   * Returns whether a complete head announces no body, whatever its other fields are.
   *
   * @throws IllegalArgumentException if the body is in a coding that would be lost on the next
   *     connection
   */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    HttpHeaders headers = message.headers();
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (codings.size() > 1 || codings.size() == 1 && !isChunked(codings.get(0))) {
      throw new IllegalArgumentException("a transfer coding other than chunked");
    }
    return !headers.contains(HttpHeaderNames.CONTENT_LENGTH) && codings.isEmpty();
  }

  private static boolean isChunked(String coding) {
    return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.strip());
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
