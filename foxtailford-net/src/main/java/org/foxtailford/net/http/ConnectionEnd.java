package org.foxtailford.net.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.ReferenceCountUtil;

/** Ends connections so that the other side gets all that was written. */
final class ConnectionEnd {

  private ConnectionEnd() {}

  /** Discards what is received. */
  private static final class InputDiscarder extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ReferenceCountUtil.release(message);
    }
  }

  /**
   * Ends the output, and discards input until the other side closes or the caller of this method
   * does. A close would make TCP send a reset on input that is unread or comes afterwards, and drop
   * what it has not sent.
   */
  static void end(ChannelHandlerContext ctx) {
    if (!(ctx.channel() instanceof SocketChannel) || !ctx.channel().isActive()) {
      ctx.close();
      return;
    }
    SocketChannel channel = (SocketChannel) ctx.channel();
    channel.pipeline().addFirst(new InputDiscarder());
    channel.config().setAutoRead(true);
    SslHandler tls = channel.pipeline().get(SslHandler.class);
    ChannelFuture closed = tls == null ? channel.newSucceededFuture() : tls.closeOutbound();
    closed.addListener(ignored -> channel.shutdownOutput());
  }
}
