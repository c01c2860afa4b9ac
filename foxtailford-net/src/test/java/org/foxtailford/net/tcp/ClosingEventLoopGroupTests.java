package org.foxtailford.net.tcp;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.foxtailford.schema.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Connections of event loops that are shut down. */
public class ClosingEventLoopGroupTests {

  private static final int TIMEOUT_MS = 20_000;
  private static final int READ_TIMEOUT_MS = 5000;

  private final CompletableFuture<ByteBuf> received = new CompletableFuture<>();
  private EventLoopGroup loops;
  private Socket caller;

  @BeforeMethod
  public void begin() throws Exception {
    loops = new ClosingEventLoopGroup(1);
    Channel listener =
        ListenerUtils.bind(
            ListenerUtils.bootstrap(loops, channel -> channel.pipeline().addLast(new Holder())),
            Endpoint.newBuilder().setHost("127.0.0.1").setPort(0).build());
    caller = new Socket("127.0.0.1", ListenerUtils.portOf(listener));
    caller.setSoTimeout(READ_TIMEOUT_MS);
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    caller.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against a leak of what was received, and connections that stay open for good. */
  @Test(timeOut = TIMEOUT_MS)
  public void connectionsOfALoopThatIsShutDownDuringATaskAreClosed() throws Exception {
    caller.getOutputStream().write('x');
    ByteBuf held = received.get();
    CountDownLatch running = new CountDownLatch(1);
    CompletableFuture<Void> goOn = new CompletableFuture<>();
    loops
        .next()
        .execute(
            () -> {
              running.countDown();
              goOn.join();
            });
    running.await();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    goOn.complete(null);
    loops.terminationFuture().await();
    assertThat(held.refCnt()).as("references to what was received").isZero();
    assertThat(caller.getInputStream().read()).as("end of the connection").isEqualTo(-1);
  }

  /** Holds what it receives, as a decoder does with an incomplete message. */
  private final class Holder extends ByteToMessageDecoder {

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      received.complete(in);
    }
  }
}
