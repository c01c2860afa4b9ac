package org.foxtailford.net.peer;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.foxtailford.schema.LinkProbe;
import org.foxtailford.schema.PeerFrame;

/**
 * Sends probes on an idle link and closes one on which nothing is received, so that both ends
 * detect a connection whose state was dropped on the network path, for example by a firewall. Also
 * stops reading while the link can't be written to (backpressure).
 */
final class LinkProbeHandler extends ChannelDuplexHandler {

  private static final PeerFrame PROBE =
      PeerFrame.newBuilder().setLinkProbe(LinkProbe.getDefaultInstance()).build();

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof IdleStateEvent)) {
      ctx.fireUserEventTriggered(event);
    } else if (((IdleStateEvent) event).state() == IdleState.READER_IDLE) {
      ctx.close();
    } else {
      ctx.writeAndFlush(PROBE);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    boolean probe = message instanceof PeerFrame && ((PeerFrame) message).hasLinkProbe();
    if (!probe) {
      ctx.fireChannelRead(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    ctx.channel().config().setAutoRead(ctx.channel().isWritable());
    ctx.fireChannelWritabilityChanged();
  }
}
