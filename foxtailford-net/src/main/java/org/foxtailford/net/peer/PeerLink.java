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
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayCancel;
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
  private final PendingAnswers pending = new PendingAnswers();
  private volatile @Nullable Channel channel;
  private volatile @Nullable PeerIdentity remote;
  private volatile boolean connecting;
  private volatile boolean closed;
  private volatile @Nullable ResultCode rejection;

  public PeerLink(EventLoopGroup loops, PeerIdentity self, Endpoint endpoint, int maxFrameBytes) {
    this(loops, self, endpoint, maxFrameBytes, LinkTimeouts.DEFAULT, ChannelSecurity.NONE);
  }

  /**
   * Creates a closed link.
   *
   * @param loops event loops of the connection
   * @param self this process
   * @param endpoint the peer's address
   * @param maxFrameBytes largest message, in bytes
   * @param times when a silent connection is probed and closed
   * @param security protection of the connection
   */
  public PeerLink(
      EventLoopGroup loops,
      PeerIdentity self,
      Endpoint endpoint,
      int maxFrameBytes,
      LinkTimeouts times,
      ChannelSecurity security) {
    Assert.notNull(times, "times");
    Assert.notNull(security, "security");
    this.self = Assert.notNull(self, "self");
    this.endpoint = Assert.notNull(endpoint, "endpoint");
    this.bootstrap =
        new Bootstrap()
            .group(Assert.notNull(loops, "loops"))
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerPipelines.WATER_MARK)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel created) {
                    security.secure(created);
                    PeerPipelines.addHandlers(
                        created.pipeline(), maxFrameBytes, times, new Handler());
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
    if (closed || connecting || channel != null) {
      return;
    }
    connecting = true;
    bootstrap
        .connect(endpoint.getHost(), endpoint.getPort())
        .channel()
        .closeFuture()
        .addListener(done -> connecting = false);
  }

  /** Sends a message, or drops it if the link is closed or full. */
  public void send(PeerFrame frame) {
    Channel open = channel;
    if (open != null && remote != null && open.isWritable()) {
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
    if (pending.size() >= PeerPipelines.MAX_PENDING) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(ResultCode.OVERLOADED, "too many relayed requests in flight"));
    }
    long id = pending.nextId();
    RelayRequest numbered = request.toBuilder().setCorrelationId(id).build();
    PeerFrame question = PeerFrame.newBuilder().setRelayRequest(numbered).build();
    CompletableFuture<PeerFrame> asked = pending.ask(open, id, question, timeoutMs);
    CompletableFuture<RelayAnswer> answer = asked.thenApply(PeerFrame::getRelayAnswer);
    answer.whenComplete((received, failure) -> cancelIfGivenUp(open, id, asked));
    return answer;
  }

  private static void cancelIfGivenUp(Channel open, long id, CompletableFuture<PeerFrame> asked) {
    boolean givenUp = asked.cancel(true) || asked.isCompletedExceptionally();
    if (givenUp && open.isWritable()) {
      RelayCancel cancel = RelayCancel.newBuilder().setCorrelationId(id).build();
      open.writeAndFlush(PeerFrame.newBuilder().setRelayCancel(cancel).build());
    }
  }

  /** Asks for a claim on a request id; the correlation id is set here. */
  public CompletableFuture<ClaimAnswer> claim(ClaimRequest request, long timeoutMs) {
    long id = pending.nextId();
    ClaimRequest numbered = request.toBuilder().setCorrelationId(id).build();
    PeerFrame question = PeerFrame.newBuilder().setClaimRequest(numbered).build();
    return ask(id, question, timeoutMs).thenApply(PeerFrame::getClaimAnswer);
  }

  /** Asks for records of request ids; the correlation id is set here. */
  public CompletableFuture<HandOverPage> requestHandover(HandOverRequest request, long timeoutMs) {
    long id = pending.nextId();
    HandOverRequest numbered = request.toBuilder().setCorrelationId(id).build();
    PeerFrame question = PeerFrame.newBuilder().setHandOverRequest(numbered).build();
    return ask(id, question, timeoutMs).thenApply(PeerFrame::getHandOverPage);
  }

  private CompletableFuture<PeerFrame> ask(long id, PeerFrame question, long timeoutMs) {
    Channel open = channel;
    if (open == null || remote == null || !open.isWritable()) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(ResultCode.HOME_UNREACHABLE, "the link is closed or full"));
    }
    return pending.ask(open, id, question, timeoutMs);
  }

  @Override
  public void close() {
    closed = true;
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
      connecting = false;
      if (closed) {
        ctx.close();
        return;
      }
      ctx.writeAndFlush(PeerFrame.newBuilder().setHello(self.toHello()).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
      if (frame.hasHello()) {
        onHello(ctx, PeerIdentity.of(frame.getHello()));
      } else if (frame.hasRelayAnswer()) {
        pending.complete(frame.getRelayAnswer().getCorrelationId(), frame);
      } else if (frame.hasClaimAnswer()) {
        pending.complete(frame.getClaimAnswer().getCorrelationId(), frame);
      } else if (frame.hasHandOverPage()) {
        pending.complete(frame.getHandOverPage().getCorrelationId(), frame);
      } else if (frame.hasRejection()) {
        int number = frame.getRejection().getResultCode();
        rejection = ResultCode.findByNumber(number).orElse(ResultCode.INVALID_PEER_MESSAGE);
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
      pending.failAll();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
