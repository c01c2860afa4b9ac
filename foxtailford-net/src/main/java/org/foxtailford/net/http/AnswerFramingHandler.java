package org.foxtailford.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/**
 * Rejects answers that are delimited only by the end of the connection, since a truncated one could
 * not be distinguished from a complete one, and drops interim (1xx) answers.
 */
final class AnswerFramingHandler extends ChannelInboundHandlerAdapter {

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final AnswerDecoder decoder;
  private boolean interim;

  AnswerFramingHandler(AnswerDecoder decoder) {
    this.decoder = decoder;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpResponse) {
      HttpResponse response = (HttpResponse) message;
      interim = isInterim(response);
      if (!interim && response.decoderResult().isSuccess() && !isFramed(response)) {
        ReferenceCountUtil.release(message);
        ctx.fireExceptionCaught(
            new ResultCodeException(
                ResultCode.TRUNCATED_ANSWER, "the answer states neither length nor chunks"));
        return;
      }
    }
    if (interim) {
      ReferenceCountUtil.release(message);
    } else {
      ctx.fireChannelRead(message);
    }
  }

  private static boolean isInterim(HttpResponse response) {
    int status = response.status().code();
    return HttpStatusClass.INFORMATIONAL.contains(status) && status != SWITCHING_PROTOCOLS;
  }

  private boolean isFramed(HttpResponse response) {
    int status = response.status().code();
    return HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response)
        || decoder.isHeadOnly()
        || status == NO_CONTENT
        || status == NOT_MODIFIED;
  }
}
