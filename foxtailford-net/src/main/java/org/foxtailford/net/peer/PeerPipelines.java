package org.foxtailford.net.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.foxtailford.schema.PeerFrame;

/** Handlers that both ends of a peer link share. */
final class PeerPipelines {

  private static final int LENGTH_FIELD_BYTES = 4;

  private PeerPipelines() {}

  static void addHandlers(ChannelPipeline pipeline, int maxFrameBytes, ChannelHandler last) {
    pipeline
        .addLast(
            new LengthFieldBasedFrameDecoder(
                maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
        .addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
        .addLast(new ProtobufEncoder())
        .addLast(last);
  }
}
