package org.foxtailford.net.tcp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.SocketChannel;

/** Ends connections so that nothing which is still on its way arrives later. */
public final class ConnectionResets {

  private ConnectionResets() {}

  /** Closes a connection; bytes that a cut holds up are dropped instead of sent after its end. */
  public static void reset(Channel channel) {
    if (channel instanceof SocketChannel && channel.isOpen()) {
      try {
        ((SocketChannel) channel).config().setSoLinger(0);
      } catch (ChannelException e) {
        // The other side has closed it meanwhile, so that nothing can arrive any more.
      }
    }
    channel.close();
  }
}
