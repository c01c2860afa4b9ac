package org.foxtailford.net.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.tcp.ListenerUtils;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.schema.Endpoint;
import org.jspecify.annotations.Nullable;

/** Server for links from other entry VMs of the same system. Thread-safe. */
public final class PeerServer implements AutoCloseable {

  private final EventLoopGroup loops;
  private final PeerIdentity self;
  private final int maxFrameBytes;
  private final LinkTimeouts timeouts;
  private final PeerMessageHandler handler;
  private final ChannelSecurity security;
  private final ChannelGroup links = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private volatile @Nullable Channel listener;

  public PeerServer(
      EventLoopGroup loops, PeerIdentity self, int maxFrameBytes, PeerMessageHandler handler) {
    this(loops, self, maxFrameBytes, LinkTimeouts.DEFAULT, handler, ChannelSecurity.NONE);
  }

  /**
   * Creates a server that listens once {@link #bind} is called.
   *
   * @param loops event loops of the connections
   * @param self identity of this process
   * @param maxFrameBytes maximum size of a message, in bytes
   * @param timeouts timeouts for probing and closing an idle connection
   * @param handler handles the messages of all links
   * @param security how the connections are secured
   */
  public PeerServer(
      EventLoopGroup loops,
      PeerIdentity self,
      int maxFrameBytes,
      LinkTimeouts timeouts,
      PeerMessageHandler handler,
      ChannelSecurity security) {
    this.timeouts = Assert.notNull(timeouts, "timeouts");
    this.security = Assert.notNull(security, "security");
    this.loops = Assert.notNull(loops, "loops");
    this.self = Assert.notNull(self, "self");
    this.maxFrameBytes = maxFrameBytes;
    this.handler = Assert.notNull(handler, "handler");
  }

  /**
   * Binds the server and starts listening.
   *
   * @return the bound port
   * @throws ResultCodeException with {@link ResultCode#ADDRESS_IN_USE} if the address can't be
   *     bound
   */
  public int bind(Endpoint endpoint) {
    ServerBootstrap bootstrap =
        ListenerUtils.bootstrap(loops, this::addHandlers)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerPipelines.WATER_MARK);
    Channel bound = ListenerUtils.bind(bootstrap, endpoint);
    listener = bound;
    return ListenerUtils.portOf(bound);
  }

  private void addHandlers(SocketChannel channel) {
    links.add(channel);
    security.secure(channel);
    PeerServerHandler last = new PeerServerHandler(self, handler);
    PeerPipelines.addHandlers(channel.pipeline(), maxFrameBytes, timeouts, last);
  }

  /** Returns the number of open connections, including those before the hello. */
  public int connections() {
    return links.size();
  }

  @Override
  public void close() {
    Channel channel = listener;
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
    links.close().awaitUninterruptibly();
  }
}
