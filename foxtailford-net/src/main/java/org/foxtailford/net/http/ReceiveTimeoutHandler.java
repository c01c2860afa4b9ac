package org.foxtailford.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection on which a request takes too long to arrive whole, however many bytes trickle
 * in, or on which no request arrives. The first handler of a pipeline.
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
    restart(ctx, limits.idleTimeoutMs());
    ctx.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!receiving && !answering) {
      receiving = true;
      restart(ctx, limits.receiveTimeoutMs());
    }
    ctx.fireChannelRead(message);
  }

  /** A whole request arrived; time stands still until its answer is written. */
  void onRequest() {
    receiving = false;
    answering = true;
    cancel();
  }

  /** An answer was written and no further request is at hand. */
  void onAnswered(ChannelHandlerContext ctx) {
    answering = false;
    restart(ctx, limits.idleTimeoutMs());
  }

  private void restart(ChannelHandlerContext ctx, long delayMs) {
    cancel();
    timer = ctx.executor().schedule(() -> ctx.close(), delayMs, TimeUnit.MILLISECONDS);
  }

  private void cancel() {
    Future<?> running = timer;
    if (running != null) {
      running.cancel(false);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancel();
    ctx.fireChannelInactive();
  }
}
