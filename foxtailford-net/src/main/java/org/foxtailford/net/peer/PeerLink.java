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
 * Connecting end of a link to one entry VM. It connects only on {@link #connect()}: after a failure
 * it stays closed until the next call.
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
   * @param self identity of this process
   * @param endpoint address of the peer
   * @param maxFrameBytes maximum size of a message, in bytes
   * @param timeouts timeouts for probing and closing an idle connection
   * @param security how the connection is secured
   */
  public PeerLink(
      EventLoopGroup loops,
      PeerIdentity self,
      Endpoint endpoint,
      int maxFrameBytes,
      LinkTimeouts timeouts,
      ChannelSecurity security) {
    Assert.notNull(timeouts, "timeouts");
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
                  protected void initChannel(SocketChannel socketChannel) {
                    security.secure(socketChannel);
                    PeerPipelines.addHandlers(
                        socketChannel.pipeline(), maxFrameBytes, timeouts, new Handler());
                  }
                });
  }

  /** Returns the peer; empty until it has answered the hello and after the link is closed. */
  public Optional<PeerIdentity> remote() {
    return Optional.ofNullable(remote);
  }

  /**
   * Returns why the link was rejected, by either end; empty if it was not, or once a hello of the
   * same system arrives.
   */
  public Optional<ResultCode> rejection() {
    return Optional.ofNullable(rejection);
  }

  public Endpoint endpoint() {
    return endpoint;
  }

  /** Starts connecting, unless the link is open, connecting or permanently closed. */
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

  /** Sends a message; drops it if the link is closed or its write buffer is full. */
  public void send(PeerFrame frame) {
    Channel open = channel;
    if (open != null && remote != null && open.isWritable()) {
      open.writeAndFlush(frame);
    }
  }

  /**
   * Relays a request. Cancelling the future, or a timeout, cancels the request at the peer.
   *
   * @param request request to relay; its correlation id is assigned here
   * @param timeoutMs maximum time until the answer, in milliseconds
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
    RelayRequest withId = request.toBuilder().setCorrelationId(id).build();
    PeerFrame requestFrame = PeerFrame.newBuilder().setRelayRequest(withId).build();
    CompletableFuture<PeerFrame> reply = pending.submit(open, id, requestFrame, timeoutMs);
    CompletableFuture<RelayAnswer> answer = reply.thenApply(PeerFrame::getRelayAnswer);
    answer.whenComplete((received, failure) -> cancelAtPeer(open, id, reply));
    return answer;
  }

  private static void cancelAtPeer(Channel open, long id, CompletableFuture<PeerFrame> reply) {
    boolean abandoned = reply.cancel(true) || reply.isCompletedExceptionally();
    if (abandoned && open.isWritable()) {
      RelayCancel cancel = RelayCancel.newBuilder().setCorrelationId(id).build();
      open.writeAndFlush(PeerFrame.newBuilder().setRelayCancel(cancel).build());
    }
  }

  /** Requests a claim on a request id; the correlation id is assigned here. */
  public CompletableFuture<ClaimAnswer> claim(ClaimRequest request, long timeoutMs) {
    long id = pending.nextId();
    ClaimRequest withId = request.toBuilder().setCorrelationId(id).build();
    PeerFrame requestFrame = PeerFrame.newBuilder().setClaimRequest(withId).build();
    return sendRequest(id, requestFrame, timeoutMs).thenApply(PeerFrame::getClaimAnswer);
  }

  /** Requests a page of records of request ids; the correlation id is assigned here. */
  public CompletableFuture<HandOverPage> requestHandover(HandOverRequest request, long timeoutMs) {
    long id = pending.nextId();
    HandOverRequest withId = request.toBuilder().setCorrelationId(id).build();
    PeerFrame requestFrame = PeerFrame.newBuilder().setHandOverRequest(withId).build();
    return sendRequest(id, requestFrame, timeoutMs).thenApply(PeerFrame::getHandOverPage);
  }

  private CompletableFuture<PeerFrame> sendRequest(
      long id, PeerFrame requestFrame, long timeoutMs) {
    Channel open = channel;
    if (open == null || remote == null || !open.isWritable()) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(ResultCode.HOME_UNREACHABLE, "the link is closed or full"));
    }
    return pending.submit(open, id, requestFrame, timeoutMs);
  }

  @Override
  public void close() {
    closed = true;
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  /** Handles the messages of the peer on the link's event loop. */
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
