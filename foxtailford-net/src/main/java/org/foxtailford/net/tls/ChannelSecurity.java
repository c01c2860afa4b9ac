package org.foxtailford.net.tls;

import io.netty.channel.socket.SocketChannel;

/** Protects new connections. Thread-safe. */
@FunctionalInterface
public interface ChannelSecurity {

  /** Leaves connections as they are. */
  ChannelSecurity NONE = channel -> {};

  /** Adds what protects the connection to its pipeline, before all other handlers. */
  void secure(SocketChannel channel);
}
