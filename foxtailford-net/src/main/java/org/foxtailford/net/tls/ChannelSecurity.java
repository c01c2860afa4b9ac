package org.foxtailford.net.tls;

import io.netty.channel.socket.SocketChannel;

/** Adds transport security to new connections. Implementations are thread-safe. */
@FunctionalInterface
public interface ChannelSecurity {

  /** Leaves connections unencrypted. */
  ChannelSecurity NONE = channel -> {};

  /** Adds the security handler to the connection's pipeline, before all other handlers. */
  void secure(SocketChannel channel);
}
