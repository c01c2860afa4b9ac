package org.foxtailford.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.foxtailford.schema.LinkProbe;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PeerHello;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LinkProbeHandlerTests {

  private static final LinkTimeouts TIMEOUTS = new LinkTimeouts(500, 1500);
  private static final PeerFrame PROBE =
      PeerFrame.newBuilder().setLinkProbe(LinkProbe.getDefaultInstance()).build();

  private EmbeddedChannel channel;

  @BeforeMethod
  public void setUp() {
    channel = new EmbeddedChannel();
    channel.freezeTime();
    channel
        .pipeline()
        .addLast(
            new IdleStateHandler(
                TIMEOUTS.readTimeoutMs(), TIMEOUTS.probeIntervalMs(), 0, TimeUnit.MILLISECONDS))
        .addLast(new LinkProbeHandler());
  }

  @Test
  public void idleLinkSendsProbes() {
    advanceTime(TIMEOUTS.probeIntervalMs());
    assertThat(channel.<PeerFrame>readOutbound().hasLinkProbe()).isTrue();
  }

  @Test
  public void linkStaysOpenWhileItReceivesProbes() {
    for (int i = 0; i < 20; i++) {
      advanceTime(TIMEOUTS.probeIntervalMs());
      channel.writeInbound(PROBE);
    }
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  public void linkIsClosedIfNothingIsReceivedInTime() {
    advanceTime(TIMEOUTS.readTimeoutMs() - 1);
    assertThat(channel.isOpen()).isTrue();
    advanceTime(1);
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  public void probesAreNotForwardedToTheNextHandler() {
    PeerFrame hello = PeerFrame.newBuilder().setHello(PeerHello.getDefaultInstance()).build();
    channel.writeInbound(PROBE, hello);
    assertThat(channel.<PeerFrame>readInbound()).isEqualTo(hello);
    assertThat(channel.<PeerFrame>readInbound()).isNull();
  }

  private void advanceTime(long ms) {
    channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }
}
