package org.foxtailford.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/**
 * Rejects answers that are delimited only by the end of the connection, since a truncated one could
 * not be distinguished from a complete one, and drops interim (1xx) answers.
 */
final class AnswerFramingHandler extends ChannelInboundHandlerAdapter {

  private final AnswerDecoder decoder;
  private boolean interim;

  AnswerFramingHandler(AnswerDecoder decoder) {
    this.decoder = decoder;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpResponse) {
      HttpResponse response = (HttpResponse) message;
      interim = HttpStatusClass.INFORMATIONAL.contains(response.status().code());
      if (!interim
          && response.decoderResult().isSuccess()
          && decoder.endsWithConnection(response)) {
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
}
