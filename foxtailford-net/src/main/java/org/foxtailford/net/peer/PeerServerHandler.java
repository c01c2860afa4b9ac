package org.foxtailford.net.peer;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PeerRejection;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.jspecify.annotations.Nullable;

/** Accepting end of one peer link. Runs on the link's event loop. */
final class PeerServerHandler extends SimpleChannelInboundHandler<PeerFrame> {

  private final PeerIdentity self;
  private final PeerMessageHandler handler;
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
    handler
        .onRelay(sender, request)
        .exceptionally(PeerServerHandler::failed)
        .thenAccept(answer -> answer(ctx, request, answer));
  }

  private static RelayAnswer failed(Throwable failure) {
    return RelayAnswer.newBuilder()
        .setResultCode(ResultCode.INTERNAL_ERROR.number())
        .setStatus(ResultCode.INTERNAL_ERROR.httpStatus())
        .setMessage(String.valueOf(failure.getMessage()))
        .build();
  }

  private static void answer(ChannelHandlerContext ctx, RelayRequest request, RelayAnswer answer) {
    RelayAnswer addressed = answer.toBuilder().setCorrelationId(request.getCorrelationId()).build();
    ctx.writeAndFlush(PeerFrame.newBuilder().setRelayAnswer(addressed).build());
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
