package org.foxtailford.net.tcp;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.Endpoint;

/** Utilities for TCP listeners. */
public final class ListenerUtils {

  private static final int BACKLOG = 1024;

  private ListenerUtils() {}

  /**
   * Returns the bootstrap of a listener, to which options may be added. Each pass of the event loop
   * accepts all connections that wait, so that none is older than the pass before.
   *
   * @param loops event loops of the listener and its connections
   * @param addHandlers adds the handlers to the pipeline of each accepted connection
   */
  public static ServerBootstrap bootstrap(
      EventLoopGroup loops, Consumer<SocketChannel> addHandlers) {
    return new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                addHandlers.accept(channel);
              }
            });
  }

  /**
   * Binds a listener, and blocks until it is bound.
   *
   * @param endpoint address to listen on; port 0 selects a free port
   * @throws ResultCodeException with {@link ResultCode#ADDRESS_IN_USE} if it cannot be bound
   */
  public static Channel bind(ServerBootstrap bootstrap, Endpoint endpoint) {
    ChannelFuture bound =
        bootstrap.bind(endpoint.getHost(), endpoint.getPort()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      String address = endpoint.getHost() + ":" + endpoint.getPort();
      throw new ResultCodeException(
          ResultCode.ADDRESS_IN_USE, "cannot listen on " + address, bound.cause());
    }
    return bound.channel();
  }

  /** Returns the local port of a bound listener. */
  public static int portOf(Channel listener) {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }
}
