package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import org.foxtailford.schema.Endpoint;
import org.testng.annotations.Test;

/**
 * Verifies that a timed-out request can't reach the upstream afterwards. An orderly close would
 * still deliver the bytes in the send buffer, so the connection must be reset.
 */
public class TimedOutRequestTests {

  private static final int BODY_BYTES = 32 << 20;

  @Test
  public void connectionOfATimedOutRequestIsReset() throws Exception {
    var loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PooledHttpClient client = new PooledHttpClient(loops, 1, 1024)) {
      Endpoint endpoint =
          Endpoint.newBuilder()
              .setHost(server.getInetAddress().getHostAddress())
              .setPort(server.getLocalPort())
              .build();
      HttpExchange exchange =
          new HttpExchange(
              HttpMethod.POST, "/grant", new DefaultHttpHeaders(), new byte[BODY_BYTES]);
      var answer = client.send(endpoint, exchange, 200);
      try (Socket accepted = server.accept()) {
        assertThatThrownBy(answer::join).hasMessageContaining("no answer");
        assertThat(countBytesUntilReset(accepted)).isLessThan(BODY_BYTES);
      }
    } finally {
      loops.shutdownGracefully();
    }
  }

  /** Returns the number of bytes received before the reset; fails on an orderly end of stream. */
  private static long countBytesUntilReset(Socket accepted) throws IOException {
    long bytes = 0;
    byte[] buffer = new byte[64 << 10];
    InputStream in = accepted.getInputStream();
    try {
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        bytes += read;
      }
    } catch (SocketException e) {
      return bytes;
    }
    throw new AssertionError(
        "expected a reset, but the stream was closed orderly after " + bytes + " bytes");
  }
}
