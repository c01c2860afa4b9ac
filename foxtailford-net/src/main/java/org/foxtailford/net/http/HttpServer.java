package org.foxtailford.net.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.tcp.ListenerUtils;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.net.tls.ClientSubjectHandler;
import org.foxtailford.schema.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * HTTP/1.1 server that handles the requests of each connection one at a time and in order.
 *
 * <p>Thread-safe.
 */
public final class HttpServer implements AutoCloseable {

  private final EventLoopGroup loops;
  private final HttpLimits limits;
  private final HttpExchangeHandler handler;
  private final ChannelSecurity security;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private volatile @Nullable Channel listener;

  public HttpServer(EventLoopGroup loops, HttpLimits limits, HttpExchangeHandler handler) {
    this(loops, limits, handler, ChannelSecurity.NONE);
  }

  /** Creates a server that secures each accepted connection, for example by TLS. */
  public HttpServer(
      EventLoopGroup loops,
      HttpLimits limits,
      HttpExchangeHandler handler,
      ChannelSecurity security) {
    this.security = Assert.notNull(security, "security");
    this.loops = Assert.notNull(loops, "loops");
    this.limits = Assert.notNull(limits, "limits");
    this.handler = Assert.notNull(handler, "handler");
  }

  /**
   * Binds the server and starts listening.
   *
   * @param endpoint address; port 0 selects any free port
   * @return the bound port
   * @throws ResultCodeException with {@link ResultCode#ADDRESS_IN_USE} if the address can't be
   *     bound
   */
  public int bind(Endpoint endpoint) {
    Channel bound = ListenerUtils.bind(ListenerUtils.bootstrap(loops, this::addHandlers), endpoint);
    listener = bound;
    return ListenerUtils.portOf(bound);
  }

  private void addHandlers(SocketChannel channel) {
    connections.add(channel);
    security.secure(channel);
    ReceiveTimeoutHandler timeouts = new ReceiveTimeoutHandler(limits);
    channel
        .pipeline()
        .addLast(timeouts)
        .addLast(new WriteTimeoutHandler(limits.writeTimeoutMs(), TimeUnit.MILLISECONDS))
        .addLast(new RequestDecoder(limits))
        .addLast(new HttpResponseEncoder())
        .addLast(new ClientSubjectHandler())
        .addLast(new RefusingAggregator(limits.maxBodyBytes(), handler))
        .addLast(new HttpServerHandler(handler, timeouts));
  }

  /**
   * Returns the number of connections on which reading is paused, since a further request arrived
   * before the current one was answered.
   */
  public int busyConnections() {
    return (int) connections.stream().filter(c -> !c.config().isAutoRead()).count();
  }

  /**
   * Stops listening; open connections are kept. Completes at once if the event loop has ended,
   * which closed the listener and notifies nobody any more.
   */
  public CompletableFuture<Void> stopListening() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    Channel channel = listener;
    if (channel == null || channel.eventLoop().isTerminated()) {
      stopped.complete(null);
    } else {
      channel.close().addListener(done -> stopped.complete(null));
    }
    return stopped;
  }

  /** Closes the open connections, busy or not, without waiting; new ones are accepted. */
  public void closeConnections() {
    connections.close();
  }

  /** Returns the number of open connections, idle or busy. */
  public int connections() {
    return connections.size();
  }

  @Override
  public void close() {
    stopListening().join();
    connections.close().awaitUninterruptibly();
  }
}
