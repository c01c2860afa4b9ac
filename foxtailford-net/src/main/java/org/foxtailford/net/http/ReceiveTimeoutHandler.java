package org.foxtailford.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection when a request is not received completely in time, even if single bytes keep
 * arriving, or when no request arrives. Must be the first handler of the pipeline.
 */
final class ReceiveTimeoutHandler extends ChannelInboundHandlerAdapter {

  private final HttpLimits limits;
  private @Nullable Future<?> timer;
  private boolean receiving;
  private boolean answering;

  ReceiveTimeoutHandler(HttpLimits limits) {
    this.limits = limits;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    scheduleClose(ctx, limits.idleTimeoutMs());
    ctx.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!receiving && !answering) {
      receiving = true;
      scheduleClose(ctx, limits.receiveTimeoutMs());
    }
    ctx.fireChannelRead(message);
  }

  /** Stops the timer when a request is complete, until its answer is written. */
  void onRequestReceived() {
    receiving = false;
    answering = true;
    cancelTimer();
  }

  /** Starts the idle timer when an answer is written and no further request is queued. */
  void onAnswerWritten(ChannelHandlerContext ctx) {
    answering = false;
    scheduleClose(ctx, limits.idleTimeoutMs());
  }

  private void scheduleClose(ChannelHandlerContext ctx, long delayMs) {
    cancelTimer();
    timer = ctx.executor().schedule(() -> ctx.close(), delayMs, TimeUnit.MILLISECONDS);
  }

  private void cancelTimer() {
    Future<?> scheduled = timer;
    if (scheduled != null) {
      scheduled.cancel(false);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelTimer();
    ctx.fireChannelInactive();
  }
}
