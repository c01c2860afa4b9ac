package org.foxtailford.net.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.foxtailford.schema.PeerFrame;

/** Configures the channel handlers that both ends of a peer link share. */
final class PeerPipelines {

  /** Maximum number of relayed requests in flight on a link in one direction. */
  static final int MAX_PENDING = 4096;

  /** A link is not writable from 4 MiB of queued outgoing bytes until they fall below 1 MiB. */
  static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(1 << 20, 4 << 20);

  private static final int LENGTH_FIELD_BYTES = 4;

  private PeerPipelines() {}

  static void addHandlers(
      ChannelPipeline pipeline, int maxFrameBytes, LinkTimeouts timeouts, ChannelHandler last) {
    pipeline
        .addLast(
            new IdleStateHandler(
                timeouts.readTimeoutMs(), timeouts.probeIntervalMs(), 0, TimeUnit.MILLISECONDS))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                maxFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
        .addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
        .addLast(new ProtobufEncoder())
        .addLast(new LinkProbeHandler())
        .addLast(last);
  }
}
