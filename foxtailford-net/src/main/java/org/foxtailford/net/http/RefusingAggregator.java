package org.foxtailford.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import org.foxtailford.core.result.ResultCode;

/** Aggregates the body of a request, and refuses one over the limit with a result code. */
final class RefusingAggregator extends HttpObjectAggregator {

  private final HttpExchangeHandler handler;

  RefusingAggregator(int maxBodyBytes, HttpExchangeHandler handler) {
    super(maxBodyBytes, true);
    this.handler = handler;
  }

  @Override
  protected Object newContinueResponse(HttpMessage start, int maxLength, ChannelPipeline pipeline) {
    Object response = super.newContinueResponse(start, maxLength, pipeline);
    boolean rejected = response instanceof FullHttpResponse && exceedsLimit(start, maxLength);
    return rejected ? tooLarge() : response;
  }

  private static boolean exceedsLimit(HttpMessage start, int maxLength) {
    return HttpUtil.getContentLength(start, -1L) > maxLength;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
    ctx.writeAndFlush(tooLarge()).addListener(written -> ConnectionEnd.end(ctx));
  }

  private FullHttpResponse tooLarge() {
    HttpAnswer answer =
        handler.refuse(
            ResultCode.BODY_TOO_LARGE, "the body is over " + maxContentLength() + " bytes");
    return HttpMessages.toResponse(answer, false, false);
  }
}
