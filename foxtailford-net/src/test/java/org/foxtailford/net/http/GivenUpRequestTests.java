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

/** A request that was given up must not arrive later, so its connection ends with a reset. */
public class GivenUpRequestTests {

  private static final int LONG_BODY = 32 << 20;

  @Test
  public void connectionOfARequestWithoutAnswerIsReset() throws Exception {
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
              HttpMethod.POST, "/grant", new DefaultHttpHeaders(), new byte[LONG_BODY]);
      var answer = client.send(endpoint, exchange, 200);
      try (Socket accepted = server.accept()) {
        assertThatThrownBy(answer::join).hasMessageContaining("no answer");
        assertThat(readsUntilReset(accepted)).isLessThan(LONG_BODY);
      }
    } finally {
      loops.shutdownGracefully();
    }
  }

  /** Returns how many bytes came before the reset; fails if the stream ends in order. */
  private static long readsUntilReset(Socket accepted) throws IOException {
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
    throw new AssertionError("the stream ended in order after " + bytes + " bytes");
  }
}
