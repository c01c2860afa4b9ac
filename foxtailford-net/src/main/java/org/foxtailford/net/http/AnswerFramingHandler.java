package org.foxtailford.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/**
 * Rejects an answer whose end only the closing of the connection would show, since a truncated one
 * could not be told from a whole one.
 */
final class AnswerFramingHandler extends ChannelInboundHandlerAdapter {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpResponse && !isFramed((HttpResponse) message)) {
      ctx.fireExceptionCaught(
          new ResultCodeException(
              ResultCode.TRUNCATED_ANSWER, "the answer states neither length nor chunks"));
      ctx.close();
      return;
    }
    ctx.fireChannelRead(message);
  }

  private static boolean isFramed(HttpResponse response) {
    int status = response.status().code();
    return HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response)
        || status == NO_CONTENT
        || status == NOT_MODIFIED
        || HttpStatusClass.INFORMATIONAL.contains(status);
  }
}
