package org.foxtailford.net.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.ClaimResult;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests both ends of peer links over real sockets. */
public class PeerLinkTests {

  private static final int LONG_MS = 20_000;
  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final LinkTimeouts SHORT_TIMEOUTS = new LinkTimeouts(50, 150);
  private static final PeerIdentity VM_A = new PeerIdentity("s", "a", "dc1", 1);
  private static final PeerIdentity VM_B = new PeerIdentity("s", "b", "dc2", 2);

  private static final PeerIdentity OTHER_SYSTEM_VM = new PeerIdentity("other", "x", "dc1", 3);

  private EventLoopGroup loops;
  private PeerServer server;
  private PeerLink link;
  private CompletableFuture<RelayAnswer> relayed;
  private final List<String> endedClaims = new CopyOnWriteArrayList<>();
  private volatile List<String> endedClaimsAtClaim = List.of();
  private CountDownLatch received;

  @BeforeMethod
  public void start() {
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    relayed = new CompletableFuture<>();
    received = new CountDownLatch(1);
    server = new PeerServer(loops, VM_B, MAX_FRAME_BYTES, new Handler());
    int port = server.bind(Endpoint.newBuilder().setHost("127.0.0.1").build());
    link = new PeerLink(loops, VM_A, endpoint(port), MAX_FRAME_BYTES);
  }

  @AfterMethod
  public void stop() {
    link.close();
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test(timeOut = LONG_MS)
  public void relayIsAnswered() {
    connect();
    relayed.complete(RelayAnswer.newBuilder().setStatus(201).build());
    assertThat(link.relay(request(), LONG_MS).join().getStatus()).isEqualTo(201);
  }

  @Test(timeOut = LONG_MS)
  public void lateAnswerIsNotTakenForAnotherRelay() throws InterruptedException {
    connect();
    CompletableFuture<RelayAnswer> late = link.relay(request(), 50);
    assertThat(codeOf(late)).isEqualTo(ResultCode.ANSWER_TIMEOUT);
    received.await();
    CompletableFuture<RelayAnswer> first = relayed;
    relayed = CompletableFuture.completedFuture(RelayAnswer.newBuilder().setStatus(2).build());
    first.complete(RelayAnswer.newBuilder().setStatus(1).build());
    assertThat(link.relay(request(), LONG_MS).join().getStatus()).isEqualTo(2);
  }

  @Test(timeOut = LONG_MS)
  public void cancelledRelayIsCancelledAtThePeer() throws InterruptedException {
    connect();
    CompletableFuture<RelayAnswer> answer = link.relay(request(), LONG_MS);
    received.await();
    answer.cancel(true);
    assertThat(catchThrowable(() -> relayed.join())).isNotNull();
    assertThat(relayed).isCancelled();
  }

  @Test(timeOut = LONG_MS)
  public void claimIsAnswered() {
    connect();
    ClaimRequest request = ClaimRequest.newBuilder().setRequestId("id").build();
    assertThat(link.claim(request, LONG_MS).join().getResult())
        .isEqualTo(ClaimResult.CLAIM_RESULT_GRANTED);
  }

  @Test(timeOut = LONG_MS)
  public void claimEndIsHandledBeforeTheNextClaim() {
    connect();
    ClaimEnd end = ClaimEnd.newBuilder().setRequestId("id").build();
    link.send(PeerFrame.newBuilder().setClaimEnd(end).build());
    link.claim(ClaimRequest.newBuilder().setRequestId("id").build(), LONG_MS).join();
    assertThat(endedClaimsAtClaim).containsExactly("id");
  }

  @Test(timeOut = LONG_MS)
  public void serverRejectsAPeerOfAnotherSystemAndClosesTheConnection() throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), link.endpoint().getPort())) {
      writeHello(socket, OTHER_SYSTEM_VM);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      PeerFrame answer = PeerFrame.parseFrom(in.readNBytes(in.readInt()));
      assertThat(answer.getRejection().getResultCode()).isEqualTo(ResultCode.OTHER_SYSTEM.number());
      assertThat(in.read()).isEqualTo(-1);
    }
  }

  @Test(timeOut = LONG_MS)
  public void linkRejectsAPeerOfAnotherSystem() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      PeerLink linkToOtherSystem =
          new PeerLink(loops, VM_A, endpoint(listener.getLocalPort()), MAX_FRAME_BYTES);
      linkToOtherSystem.connect();
      try (Socket socket = listener.accept()) {
        writeHello(socket, OTHER_SYSTEM_VM);
        while (linkToOtherSystem.rejection().isEmpty()) {
          Thread.onSpinWait();
        }
        assertThat(linkToOtherSystem.rejection()).contains(ResultCode.OTHER_SYSTEM);
        assertThat(linkToOtherSystem.remote()).isEmpty();
      }
      linkToOtherSystem.close();
    }
  }

  @Test(timeOut = LONG_MS)
  public void exceptionOfTheHandlerDoesNotCloseTheLink() {
    connect();
    relayed = null;
    assertThat(link.relay(request(), LONG_MS).join().getResultCode())
        .isEqualTo(ResultCode.UNKNOWN_SERVICE.number());
    assertThat(link.remote()).contains(VM_B);
  }

  @Test(timeOut = LONG_MS)
  public void repeatedConnectOpensOneConnection() {
    Endpoint address = link.endpoint();
    for (int i = 1; i <= 100; i++) {
      PeerLink reconnecting = new PeerLink(loops, VM_A, address, MAX_FRAME_BYTES);
      while (reconnecting.remote().isEmpty()) {
        reconnecting.connect();
      }
      assertThat(server.connections()).isEqualTo(i);
    }
  }

  @Test(timeOut = LONG_MS)
  public void relayOnAClosedLinkFailsAsHomeUnreachable() {
    assertThat(codeOf(link.relay(request(), LONG_MS))).isEqualTo(ResultCode.HOME_UNREACHABLE);
  }

  @Test(timeOut = LONG_MS)
  public void linkToASilentPeerIsClosedAndCanReconnect() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      PeerLink linkToSilentPeer =
          new PeerLink(
              loops,
              VM_A,
              endpoint(listener.getLocalPort()),
              MAX_FRAME_BYTES,
              SHORT_TIMEOUTS,
              ChannelSecurity.NONE);
      for (int i = 0; i < 2; i++) {
        linkToSilentPeer.connect();
        try (Socket socket = listener.accept()) {
          exchangeHello(socket);
          CompletableFuture<RelayAnswer> unanswered = relayWhenOpen(linkToSilentPeer);
          assertThat(codeOf(unanswered)).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
          assertThat(linkToSilentPeer.remote()).isEmpty();
        }
      }
      linkToSilentPeer.close();
    }
  }

  private static CompletableFuture<RelayAnswer> relayWhenOpen(PeerLink link) {
    while (link.remote().isEmpty()) {
      Thread.onSpinWait();
    }
    return link.relay(request(), LONG_MS);
  }

  private static void writeHello(Socket socket, PeerIdentity identity) throws IOException {
    byte[] hello = PeerFrame.newBuilder().setHello(identity.toHello()).build().toByteArray();
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(hello.length);
    out.write(hello);
    out.flush();
  }

  private static void exchangeHello(Socket socket) throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    in.readNBytes(in.readInt());
    writeHello(socket, VM_B);
  }

  private void connect() {
    link.connect();
    while (link.remote().isEmpty()) {
      Thread.onSpinWait();
    }
  }

  private static RelayRequest request() {
    return RelayRequest.newBuilder().setUri("/a/b").build();
  }

  private static Endpoint endpoint(int port) {
    return Endpoint.newBuilder().setHost("127.0.0.1").setPort(port).build();
  }

  private static ResultCode codeOf(CompletableFuture<RelayAnswer> answer) {
    return ResultCodeException.codeOf(catchThrowable(answer::join));
  }

  private final class Handler implements PeerMessageHandler {

    @Override
    public void onMessage(PeerIdentity sender, PeerFrame frame) {
      throw new AssertionError("unexpected message: onMessage must not be called");
    }

    @Override
    public CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request) {
      received.countDown();
      if (relayed == null) {
        throw new ResultCodeException(ResultCode.UNKNOWN_SERVICE, "no such service");
      }
      return relayed;
    }

    @Override
    public void onClaimEnd(PeerIdentity sender, ClaimEnd end) {
      endedClaims.add(end.getRequestId());
    }

    @Override
    public ClaimAnswer onClaim(PeerIdentity sender, ClaimRequest request) {
      endedClaimsAtClaim = List.copyOf(endedClaims);
      return ClaimAnswer.newBuilder().setResult(ClaimResult.CLAIM_RESULT_GRANTED).build();
    }

    @Override
    public HandOverPage onHandover(PeerIdentity sender, HandOverRequest request) {
      return HandOverPage.getDefaultInstance();
    }
  }
}
