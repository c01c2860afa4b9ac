package org.foxtailford.net.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those that two implementations could divide in different ways: with
 * both a length and chunks, with several lengths, or with a bare line feed.
 */
public final class RequestDecoder extends HttpRequestDecoder {

  /** Creates a decoder with the largest head that it accepts. */
  public RequestDecoder(HttpLimits limits) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setAllowDuplicateContentLengths(false)
            .setUseRfc9112TransferEncoding(true)
            .setStrictLineParsing(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
