package org.foxtailford.daemon.coldstart;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailford.core.coldstart.ColdGate;
import org.foxtailford.core.coldstart.GateLease;
import org.foxtailford.core.coldstart.GateLeaseManager;
import org.foxtailford.core.coldstart.GateTiming;
import org.foxtailford.core.coldstart.VmIncarnation;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.peer.PeerMessenger;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.GateLeaseGrant;
import org.foxtailford.schema.GateRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.WarmUpstreams;

/**
 * Asks the data centre's leader for gates, leases them while this VM leads, and spreads the
 * evidence of warm upstreams.
 *
 * <p>Evidence is broadcast once; since messages may be lost, each VM and its leader also tell one
 * another all that they know every {@link #REFRESH_ROUNDS} rounds. What comes from another data
 * centre is passed on within this one.
 *
 * <p>Not thread-safe: all calls run on the control executor, but for {@link #holderOf}.
 */
public final class GateExchange {

  /** Rounds between two exchanges of all the evidence. */
  static final int REFRESH_ROUNDS = 16;

  private final PeerIdentity self;
  private final GateMembership membership;
  private final PeerMessenger peers;
  private final Consumer<PeerFrame> broadcast;
  private final ColdGate gate;
  private final GateLeases leases;
  private final MillisClock clock;
  private volatile List<String> liveVms = List.of();
  private int rounds;

  /**
   * Creates an exchange without gates.
   *
   * @param self this VM
   * @param membership leader and members of the data centre
   * @param peers links to other entry VMs
   * @param broadcast sends to all of them
   * @param upstreams upstreams that have a cold start
   * @param gate this VM's gate
   * @param timing timing of the leases
   * @param clock this VM's clock
   */
  public GateExchange(
      PeerIdentity self,
      GateMembership membership,
      PeerMessenger peers,
      Consumer<PeerFrame> broadcast,
      GuardedUpstreams upstreams,
      ColdGate gate,
      GateTiming timing,
      MillisClock clock) {
    this.self = Assert.notNull(self, "self");
    this.membership = Assert.notNull(membership, "membership");
    this.peers = Assert.notNull(peers, "peers");
    this.broadcast = Assert.notNull(broadcast, "broadcast");
    this.gate = Assert.notNull(gate, "gate");
    this.clock = Assert.notNull(clock, "clock");
    this.leases = new GateLeases(self.dataCentre(), membership, upstreams, timing, clock);
  }

  /** Asks for gates. Called at every round of the control loop. */
  public void tick() {
    liveVms = membership.liveVms();
    boolean refresh = ++rounds % REFRESH_ROUNDS == 0;
    if (membership.leadership().isPresent()) {
      leases.renew(member(self), clock.nowMs()).ifPresent(gate::onLease);
      if (refresh) {
        allEvidence().ifPresent(broadcast);
      }
      return;
    }
    Optional<String> leader = membership.leader().filter(vm -> !vm.equals(self.vm()));
    leader.ifPresent(vm -> peers.send(vm, request()));
    if (refresh) {
      leader.ifPresent(vm -> allEvidence().ifPresent(frame -> peers.send(vm, frame)));
    }
  }

  private PeerFrame request() {
    GateRequest request = GateRequest.newBuilder().setAsOfMs(clock.nowMs()).build();
    return PeerFrame.newBuilder().setGateRequest(request).build();
  }

  private Optional<PeerFrame> allEvidence() {
    WarmUpstreams.Builder warm = WarmUpstreams.newBuilder();
    gate.warmBootIds()
        .forEach((name, bootId) -> warm.addUpstreamsBuilder().setUpstream(name).setBootId(bootId));
    return warm.getUpstreamsCount() == 0 ? Optional.empty() : Optional.of(frame(warm));
  }

  private static PeerFrame frame(WarmUpstreams.Builder warm) {
    return PeerFrame.newBuilder().setWarmUpstreams(warm).build();
  }

  private static VmIncarnation member(PeerIdentity vm) {
    return new VmIncarnation(vm.vm(), vm.bootId());
  }

  /** Tells the other entry VMs that one start of an upstream is warm. */
  public void announceWarm(String upstream, long bootId) {
    WarmUpstreams.Builder warm = WarmUpstreams.newBuilder();
    warm.addUpstreamsBuilder().setUpstream(upstream).setBootId(bootId);
    broadcast.accept(frame(warm));
  }

  /**
   * Takes a message of another entry VM.
   *
   * @return whether the message was one about gates or warmth
   */
  public boolean onFrame(PeerIdentity sender, PeerFrame frame) {
    if (frame.hasGateRequest()) {
      onRequest(sender, frame.getGateRequest());
    } else if (frame.hasGateLease()) {
      onLease(sender, frame.getGateLease());
    } else if (frame.hasWarmUpstreams()) {
      onWarm(sender, frame.getWarmUpstreams());
    } else {
      return false;
    }
    return true;
  }

  private boolean isLocal(PeerIdentity sender) {
    return sender.dataCentre().equals(self.dataCentre());
  }

  private void onRequest(PeerIdentity sender, GateRequest request) {
    if (isLocal(sender)) {
      leases
          .renew(member(sender), request.getAsOfMs())
          .ifPresent(lease -> peers.send(sender.vm(), toFrame(lease)));
    }
  }

  private static PeerFrame toFrame(GateLease lease) {
    GateLeaseGrant grant =
        GateLeaseGrant.newBuilder()
            .setHolderBootId(lease.holder().bootId())
            .setAsOfMs(lease.asOfMs())
            .setTtlMs((int) lease.ttlMs())
            .addAllUpstreams(lease.upstreams())
            .build();
    return PeerFrame.newBuilder().setGateLease(grant).build();
  }

  /**
   * Takes a lease unless it was for an earlier start of this VM, whose clock had other readings.
   */
  private void onLease(PeerIdentity sender, GateLeaseGrant grant) {
    if (isLocal(sender) && grant.getHolderBootId() == self.bootId()) {
      gate.onLease(
          new GateLease(
              member(self),
              Set.copyOf(grant.getUpstreamsList()),
              grant.getAsOfMs(),
              grant.getTtlMs()));
    }
  }

  private void onWarm(PeerIdentity sender, WarmUpstreams received) {
    WarmUpstreams.Builder news = WarmUpstreams.newBuilder();
    received.getUpstreamsList().stream()
        .filter(warm -> gate.onWarm(warm.getUpstream(), warm.getBootId(), clock.nowMs()))
        .forEach(news::addUpstreams);
    if (!isLocal(sender) && news.getUpstreamsCount() > 0) {
      PeerFrame frame = frame(news);
      peers.openIn(self.dataCentre()).forEach(vm -> peers.send(vm, frame));
    }
  }

  /** Returns the entry VM that should hold the gate of an upstream. Thread-safe. */
  public Optional<String> holderOf(String upstream) {
    return GateLeaseManager.chooseHolder(upstream, liveVms);
  }
}
