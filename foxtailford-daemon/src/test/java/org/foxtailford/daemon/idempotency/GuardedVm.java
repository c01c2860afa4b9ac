package org.foxtailford.daemon.idempotency;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.idempotency.RecordLimits;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.net.peer.PeerMessageHandler;
import org.foxtailford.net.peer.PeerServer;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.testkit.time.FakeMillisClock;

/** Request guard of one entry VM with real peer links and a fake clock. */
final class GuardedVm implements AutoCloseable {

  private static final int MAX_FRAME_BYTES = 4 << 20;
  private static final int TIMEOUT_MS = 5000;
  private static final int LOST_AFTER_MS = 60_000;

  private final FakeMillisClock clock = new FakeMillisClock();
  private final PoisonTracker poisonTracker = new PoisonTracker(PoisonLimits.DEFAULT, clock);
  private final PeerNetwork peers;
  private final MembershipTracker tracker;
  private final PeerServer server;
  private final RequestRecords records;
  private final RequestGuard guard;
  private final VmEntry entry;

  GuardedVm(EventLoopGroup loops, String vm, long bootId, TableService table, boolean plansRoster) {
    PeerIdentity self = new PeerIdentity("system", vm, "dc-" + vm, bootId);
    peers =
        new PeerNetwork(
            self, remote -> new PeerLink(loops, self, remote, MAX_FRAME_BYTES), new Random(bootId));
    tracker = new MembershipTracker(vm, self.dataCentre(), LOST_AFTER_MS, clock);
    records =
        new RequestRecords(self, peers, table, () -> plansRoster, RecordLimits.DEFAULT, clock);
    guard =
        new RequestGuard(
            records.coordinator(),
            poisonTracker,
            report -> peers.broadcast(PeerFrame.newBuilder().setPoisonReport(report).build()),
            new RouterMetrics(new SimpleMeterRegistry()),
            clock);
    server = new PeerServer(loops, self, MAX_FRAME_BYTES, new PeerMessages());
    Endpoint loopback = Endpoint.newBuilder().setHost("127.0.0.1").build();
    entry =
        VmEntry.newBuilder()
            .setName(vm)
            .setDataCentre("dc-" + vm)
            .setRole(VmRole.VM_ROLE_ENTRY)
            .setAddress(loopback.toBuilder().setPort(server.bind(loopback)))
            .build();
  }

  VmEntry entry() {
    return entry;
  }

  RequestRecords records() {
    return records;
  }

  int suspectCount() {
    return poisonTracker.suspectCount();
  }

  void onUpstreamRestarted(String upstream) {
    guard.onUpstreamRestarted(upstream);
  }

  FakeMillisClock clock() {
    return clock;
  }

  void poll(VmList vms) {
    tracker.onVmList(vms);
    peers.update(tracker.members(), List.of());
    records.poll(vms).join();
    records.tick();
  }

  boolean isLinkedTo(GuardedVm other) {
    return other == this || peers.linkTo(other.entry.getName()).isPresent();
  }

  CompletableFuture<HttpAnswer> send(
      String requestId, String body, Supplier<CompletableFuture<HttpAnswer>> attempt) {
    HttpHeaders headers = new DefaultHttpHeaders();
    HttpExchange exchange =
        new HttpExchange(HttpMethod.POST, "/pledges/add", headers, body.getBytes());
    RequestAttributes attributes =
        new RequestAttributes(
            "pledges",
            "add",
            Optional.empty(),
            Optional.of(requestId),
            clock.nowMs() + TIMEOUT_MS,
            0);
    return guard.run(exchange, attributes, false, "u1", attempt);
  }

  @Override
  public void close() {
    peers.close();
    server.close();
  }

  private final class PeerMessages implements PeerMessageHandler {

    @Override
    public void onMessage(PeerIdentity sender, PeerFrame frame) {
      if (frame.hasPoisonReport()) {
        poisonTracker.applyReport(frame.getPoisonReport());
      }
    }

    @Override
    public CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request) {
      throw new AssertionError("no relay expected");
    }

    @Override
    public void onClaimEnd(PeerIdentity sender, ClaimEnd end) {
      records.holder().recordEnd(end);
    }

    @Override
    public ClaimAnswer onClaim(PeerIdentity sender, ClaimRequest request) {
      return records.holder().claim(request);
    }

    @Override
    public HandOverPage onHandover(PeerIdentity sender, HandOverRequest request) {
      return records.holder().handOver(request);
    }
  }
}
