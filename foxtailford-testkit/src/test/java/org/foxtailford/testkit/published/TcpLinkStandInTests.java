package org.foxtailford.testkit.published;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class TcpLinkStandInTests {

  /** Connect timeout of an entry VM, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 400;

  private static final int CONNECTIONS = 60;

  /** Time in which a connection is passed on, or ended, in milliseconds. */
  private static final int END_MS = 5000;

  private final InetAddress loopback = InetAddress.getLoopbackAddress();

  // Connections that a VM opened at once timed out on a sound link, whose queue took one.
  @Test
  public void soundLinkTakesManyConnectionsAtOnce() throws Exception {
    try (ServerSocket target = new ServerSocket(0, 2 * CONNECTIONS, loopback);
        TcpLinkStandIn link = new TcpLinkStandIn(target.getLocalPort())) {
      List<SocketChannel> channels = new ArrayList<>();
      for (int i = 0; i < CONNECTIONS; i++) {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(new InetSocketAddress(loopback, link.port()));
        channels.add(channel);
      }
      TimeUnit.MILLISECONDS.sleep(CONNECT_TIMEOUT_MS);
      int connected = 0;
      for (SocketChannel channel : channels) {
        connected += channel.finishConnect() ? 1 : 0;
        channel.close();
      }
      assertThat(connected).isEqualTo(CONNECTIONS);
    }
  }

  @Test
  public void silentLinkTakesNoConnection() throws Exception {
    try (ServerSocket target = new ServerSocket(0, CONNECTIONS, loopback);
        TcpLinkStandIn link = new TcpLinkStandIn(target.getLocalPort());
        Socket socket = new Socket()) {
      link.setState(TcpLinkStandIn.State.SILENT);
      TimeUnit.MILLISECONDS.sleep(200);
      InetSocketAddress address = new InetSocketAddress(loopback, link.port());
      assertThatThrownBy(() -> socket.connect(address, CONNECT_TIMEOUT_MS))
          .isInstanceOf(SocketTimeoutException.class);
    }
  }

  // A link took connections and was silent for good after its target had refused one.
  @Test
  public void linkOutlastsAConnectionThatItsTargetRefuses() throws Exception {
    ServerSocket ended = new ServerSocket(0, CONNECTIONS, loopback);
    ended.close();
    try (TcpLinkStandIn link = new TcpLinkStandIn(ended.getLocalPort())) {
      try (Socket refused = new Socket(loopback, link.port())) {
        refused.setSoTimeout(END_MS);
        assertThatThrownBy(() -> refused.getInputStream().read())
            .isInstanceOf(SocketException.class)
            .hasMessageContaining("reset");
      }
      try (ServerSocket target = new ServerSocket(ended.getLocalPort(), CONNECTIONS, loopback);
          Socket caller = new Socket(loopback, link.port())) {
        target.setSoTimeout(END_MS);
        caller.getOutputStream().write('x');
        try (Socket passedOn = target.accept()) {
          passedOn.setSoTimeout(END_MS);
          assertThat(passedOn.getInputStream().read()).isEqualTo('x');
        }
      }
    }
  }
}
