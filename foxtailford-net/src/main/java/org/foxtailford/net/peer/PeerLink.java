package org.foxtailford.net.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.jspecify.annotations.Nullable;

/**
 * Connecting end of a link to one entry VM. It connects when it is told to and stays closed after a
 * failure until then.
 *
 * <p>Thread-safe.
 */
public final class PeerLink implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MS = 500;

  private final PeerIdentity self;
  private final Endpoint endpoint;
  private final Bootstrap bootstrap;
  private final AtomicLong correlationIds = new AtomicLong();
  private final ConcurrentMap<Long, CompletableFuture<RelayAnswer>> pending =
      new ConcurrentHashMap<>();
  private volatile @Nullable Channel channel;
  private volatile @Nullable PeerIdentity remote;
  private volatile boolean connecting;
  private volatile @Nullable ResultCode rejection;

  public PeerLink(EventLoopGroup loops, PeerIdentity self, Endpoint endpoint, int maxFrameBytes) {
    this(loops, self, endpoint, maxFrameBytes, ChannelSecurity.NONE);
  }

  /** Creates a link that is protected. */
  public PeerLink(
      EventLoopGroup loops,
      PeerIdentity self,
      Endpoint endpoint,
      int maxFrameBytes,
      ChannelSecurity security) {
    Assert.notNull(security, "security");
    this.self = Assert.notNull(self, "self");
    this.endpoint = Assert.notNull(endpoint, "endpoint");
    this.bootstrap =
        new Bootstrap()
            .group(Assert.notNull(loops, "loops"))
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel created) {
                    security.secure(created);
                    PeerPipelines.addHandlers(created.pipeline(), maxFrameBytes, new Handler());
                  }
                });
  }

  /** Returns the peer, once it has answered the hello and while the link is open. */
  public Optional<PeerIdentity> remote() {
    return Optional.ofNullable(remote);
  }

  /** Returns the reason for which the peer rejected the last connection, if it did. */
  public Optional<ResultCode> rejection() {
    return Optional.ofNullable(rejection);
  }

  public Endpoint endpoint() {
    return endpoint;
  }

  /** Connects if the link is closed. */
  public synchronized void connect() {
    if (connecting || channel != null) {
      return;
    }
    connecting = true;
    bootstrap
        .connect(endpoint.getHost(), endpoint.getPort())
        .addListener(done -> connecting = false);
  }

  /** Sends a message, or drops it if the link is closed. */
  public void send(PeerFrame frame) {
    Channel open = channel;
    if (open != null && remote != null) {
      open.writeAndFlush(frame);
    }
  }

  /**
   * Relays a request.
   *
   * @param request the request; its correlation id is set here
   * @param timeoutMs longest wait for the answer, in milliseconds
   */
  public CompletableFuture<RelayAnswer> relay(RelayRequest request, long timeoutMs) {
    Channel open = channel;
    if (open == null || remote == null || !open.isWritable()) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(ResultCode.HOME_UNREACHABLE, "the link is closed or full"));
    }
    long id = correlationIds.incrementAndGet();
    CompletableFuture<RelayAnswer> answer = new CompletableFuture<>();
    pending.put(id, answer);
    var timer =
        open.eventLoop()
            .schedule(
                () -> fail(id, ResultCode.ANSWER_TIMEOUT, "no answer in " + timeoutMs + " ms"),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    answer.whenComplete((received, failure) -> timer.cancel(false));
    RelayRequest numbered = request.toBuilder().setCorrelationId(id).build();
    open.writeAndFlush(PeerFrame.newBuilder().setRelayRequest(numbered).build())
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                fail(id, ResultCode.OUTCOME_UNKNOWN, "the request was not sent whole");
              }
            });
    if (channel != open) {
      fail(id, ResultCode.OUTCOME_UNKNOWN, "the link was lost");
    }
    return answer;
  }

  private void fail(long id, ResultCode code, String message) {
    CompletableFuture<RelayAnswer> answer = pending.remove(id);
    if (answer != null) {
      answer.completeExceptionally(new ResultCodeException(code, message));
    }
  }

  @Override
  public void close() {
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  /** Runs on the link's event loop. */
  private final class Handler extends SimpleChannelInboundHandler<PeerFrame> {

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      ctx.writeAndFlush(PeerFrame.newBuilder().setHello(self.toHello()).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
      if (frame.hasHello()) {
        onHello(ctx, PeerIdentity.of(frame.getHello()));
      } else if (frame.hasRelayAnswer()) {
        RelayAnswer received = frame.getRelayAnswer();
        CompletableFuture<RelayAnswer> answer = pending.remove(received.getCorrelationId());
        if (answer != null) {
          answer.complete(received);
        }
      } else if (frame.hasRejection()) {
        int number = frame.getRejection().getResultCode();
        rejection = ResultCode.ofNumber(number).orElse(ResultCode.INVALID_PEER_MESSAGE);
        ctx.close();
      }
    }

    private void onHello(ChannelHandlerContext ctx, PeerIdentity sender) {
      if (sender.systemId().equals(self.systemId())) {
        rejection = null;
        remote = sender;
      } else {
        rejection = ResultCode.OTHER_SYSTEM;
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      remote = null;
      channel = null;
      pending.keySet().forEach(id -> fail(id, ResultCode.OUTCOME_UNKNOWN, "the link was lost"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
