package org.foxtailford.net.tcp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.SocketChannel;

/** Resets TCP connections, so that unsent data is discarded instead of delivered later. */
public final class ConnectionResets {

  private ConnectionResets() {}

  /**
   * Closes a connection with a linger time of 0. Unsent bytes are dropped; otherwise, those delayed
   * by a network partition would be delivered after its end.
   */
  public static void reset(Channel channel) {
    if (channel instanceof SocketChannel && channel.isOpen()) {
      try {
        ((SocketChannel) channel).config().setSoLinger(0);
      } catch (ChannelException e) {
        // The peer has closed the connection in the meantime, so nothing can be delivered any more.
      }
    }
    channel.close();
  }
}
