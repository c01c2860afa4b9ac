package org.foxtailford.net.peer;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PeerRejection;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayCancel;
import org.foxtailford.schema.RelayRequest;
import org.jspecify.annotations.Nullable;

/**
 * Accepting end of one peer link: checks the hello, dispatches messages to a handler and writes its
 * answers. Runs on the link's event loop.
 */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerFrame> {

  private final PeerIdentity self;
  private final PeerMessageHandler handler;
  private final Map<Long, CompletableFuture<RelayAnswer>> pendingRelays = new HashMap<>();
  private @Nullable PeerIdentity remote;

  PeerServerHandler(PeerIdentity self, PeerMessageHandler handler) {
    this.self = self;
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
    PeerIdentity sender = remote;
    if (frame.hasHello()) {
      onHello(ctx, PeerIdentity.of(frame.getHello()));
    } else if (sender == null) {
      reject(ctx, ResultCode.INVALID_PEER_MESSAGE, "the first message must be a hello");
    } else if (frame.hasRelayRequest()) {
      onRelay(ctx, sender, frame.getRelayRequest());
    } else if (frame.hasRelayCancel()) {
      onRelayCancel(frame.getRelayCancel());
    } else if (frame.hasClaimRequest()) {
      onClaim(ctx, sender, frame.getClaimRequest());
    } else if (frame.hasClaimEnd()) {
      handler.onClaimEnd(sender, frame.getClaimEnd());
    } else if (frame.hasHandOverRequest()) {
      onHandover(ctx, sender, frame.getHandOverRequest());
    } else {
      handler.onMessage(sender, frame);
    }
  }

  private void onHello(ChannelHandlerContext ctx, PeerIdentity sender) {
    if (!sender.systemId().equals(self.systemId())) {
      reject(ctx, ResultCode.OTHER_SYSTEM, "this is system " + self.systemId());
      return;
    }
    remote = sender;
    ctx.writeAndFlush(PeerFrame.newBuilder().setHello(self.toHello()).build());
  }

  private void onRelay(ChannelHandlerContext ctx, PeerIdentity sender, RelayRequest request) {
    if (pendingRelays.size() >= PeerPipelines.MAX_PENDING) {
      answer(ctx, request, refusal(ResultCode.OVERLOADED, "too many relayed requests"));
      return;
    }
    CompletableFuture<RelayAnswer> pendingAnswer = invokeHandler(sender, request);
    pendingRelays.put(request.getCorrelationId(), pendingAnswer);
    pendingAnswer
        .exceptionally(PeerServerHandler::internalError)
        .thenAccept(answer -> ctx.executor().execute(() -> onAnswer(ctx, request, answer)));
  }

  private CompletableFuture<RelayAnswer> invokeHandler(PeerIdentity sender, RelayRequest request) {
    try {
      return handler.onRelay(sender, request);
    } catch (ResultCodeException e) {
      return CompletableFuture.completedFuture(refusal(e.code(), String.valueOf(e.getMessage())));
    }
  }

  private void onAnswer(ChannelHandlerContext ctx, RelayRequest request, RelayAnswer answer) {
    pendingRelays.remove(request.getCorrelationId());
    answer(ctx, request, answer);
  }

  private void onRelayCancel(RelayCancel cancel) {
    CompletableFuture<RelayAnswer> pendingAnswer = pendingRelays.get(cancel.getCorrelationId());
    if (pendingAnswer != null) {
      pendingAnswer.cancel(true);
    }
  }

  private void onClaim(ChannelHandlerContext ctx, PeerIdentity sender, ClaimRequest request) {
    ClaimAnswer answer =
        handler.onClaim(sender, request).toBuilder()
            .setCorrelationId(request.getCorrelationId())
            .build();
    ctx.writeAndFlush(PeerFrame.newBuilder().setClaimAnswer(answer).build());
  }

  private void onHandover(ChannelHandlerContext ctx, PeerIdentity sender, HandOverRequest request) {
    HandOverPage page =
        handler.onHandover(sender, request).toBuilder()
            .setCorrelationId(request.getCorrelationId())
            .build();
    ctx.writeAndFlush(PeerFrame.newBuilder().setHandOverPage(page).build());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    List.copyOf(pendingRelays.values()).forEach(pendingAnswer -> pendingAnswer.cancel(true));
    ctx.fireChannelInactive();
  }

  private static RelayAnswer internalError(Throwable failure) {
    return refusal(ResultCode.INTERNAL_ERROR, String.valueOf(failure.getMessage()));
  }

  private static RelayAnswer refusal(ResultCode code, String message) {
    return RelayAnswer.newBuilder()
        .setResultCode(code.number())
        .setStatus(code.httpStatus())
        .setMessage(message)
        .build();
  }

  private static void answer(ChannelHandlerContext ctx, RelayRequest request, RelayAnswer answer) {
    RelayAnswer withId = answer.toBuilder().setCorrelationId(request.getCorrelationId()).build();
    ctx.writeAndFlush(PeerFrame.newBuilder().setRelayAnswer(withId).build());
  }

  private static void reject(ChannelHandlerContext ctx, ResultCode code, String message) {
    PeerRejection rejection =
        PeerRejection.newBuilder().setResultCode(code.number()).setMessage(message).build();
    ctx.writeAndFlush(PeerFrame.newBuilder().setRejection(rejection).build())
        .addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
