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
 * Requests gate leases from the leader of the data centre, grants them while this VM is the leader,
 * and distributes the boot ids of warm upstreams.
 *
 * <p>A boot id is broadcast once when its upstream becomes warm. Because messages may be lost, the
 * leader broadcasts all the boot ids it knows, and every other VM sends its own to the leader,
 * every {@link #REFRESH_ROUNDS} rounds. Boot ids received from another data centre are forwarded
 * within this one.
 *
 * <p>Not thread-safe: all methods except {@link #findHolder} must be called on the control
 * executor.
 */
public final class GateExchange {

  /** Rounds between two exchanges of all known warm boot ids. */
  static final int REFRESH_ROUNDS = 16;

  private final PeerIdentity self;
  private final GateMembership membership;
  private final PeerMessenger peers;
  private final Consumer<PeerFrame> broadcast;
  private final ColdGate gate;
  private final GateLeaseIssuer leaseIssuer;
  private final MillisClock clock;
  private volatile List<String> liveVms = List.of();
  private int rounds;

  /**
   * Creates an exchange that has requested no gate lease yet.
   *
   * @param self the identity of this VM
   * @param membership the leader and the live entry VMs of this VM's data centre
   * @param peers sends a message to one entry VM
   * @param broadcast sends a message to all other entry VMs
   * @param upstreams the upstreams that have a cold start
   * @param gate the gate of this VM
   * @param timing durations that govern the gate leases
   * @param clock the clock of this VM
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
    this.leaseIssuer = new GateLeaseIssuer(self.dataCentre(), membership, upstreams, timing, clock);
  }

  /**
   * Requests or renews gate leases and, in refresh rounds, sends all known warm boot ids. Called
   * once per round of the control loop.
   */
  public void tick() {
    liveVms = membership.liveVms();
    boolean refresh = ++rounds % REFRESH_ROUNDS == 0;
    if (membership.leadership().isPresent()) {
      leaseIssuer.renew(toIncarnation(self), clock.nowMs()).ifPresent(gate::onLease);
      if (refresh) {
        allWarmBootIds().ifPresent(broadcast);
      }
      return;
    }
    Optional<String> leader = membership.leader().filter(vm -> !vm.equals(self.vm()));
    leader.ifPresent(vm -> peers.send(vm, request()));
    if (refresh) {
      leader.ifPresent(vm -> allWarmBootIds().ifPresent(frame -> peers.send(vm, frame)));
    }
  }

  private PeerFrame request() {
    GateRequest request = GateRequest.newBuilder().setAsOfMs(clock.nowMs()).build();
    return PeerFrame.newBuilder().setGateRequest(request).build();
  }

  private Optional<PeerFrame> allWarmBootIds() {
    WarmUpstreams.Builder warm = WarmUpstreams.newBuilder();
    gate.warmBootIds()
        .forEach((name, bootId) -> warm.addUpstreamsBuilder().setUpstream(name).setBootId(bootId));
    return warm.getUpstreamsCount() == 0 ? Optional.empty() : Optional.of(frame(warm));
  }

  private static PeerFrame frame(WarmUpstreams.Builder warm) {
    return PeerFrame.newBuilder().setWarmUpstreams(warm).build();
  }

  private static VmIncarnation toIncarnation(PeerIdentity vm) {
    return new VmIncarnation(vm.vm(), vm.bootId());
  }

  /** Announces to the other entry VMs that an incarnation of an upstream is warm. */
  public void announceWarm(String upstream, long bootId) {
    WarmUpstreams.Builder warm = WarmUpstreams.newBuilder();
    warm.addUpstreamsBuilder().setUpstream(upstream).setBootId(bootId);
    broadcast.accept(frame(warm));
  }

  /**
   * Handles a message from another entry VM.
   *
   * @return whether the message was about gate leases or warm upstreams
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
      leaseIssuer
          .renew(toIncarnation(sender), request.getAsOfMs())
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
   * Passes a lease to the gate, unless it was granted to an earlier incarnation of this VM: its
   * {@code asOfMs} was read from a clock that is not comparable with the current one.
   */
  private void onLease(PeerIdentity sender, GateLeaseGrant grant) {
    if (isLocal(sender) && grant.getHolderBootId() == self.bootId()) {
      gate.onLease(
          new GateLease(
              toIncarnation(self),
              Set.copyOf(grant.getUpstreamsList()),
              grant.getAsOfMs(),
              grant.getTtlMs()));
    }
  }

  private void onWarm(PeerIdentity sender, WarmUpstreams received) {
    WarmUpstreams.Builder newlyWarm = WarmUpstreams.newBuilder();
    received.getUpstreamsList().stream()
        .filter(warm -> gate.onWarm(warm.getUpstream(), warm.getBootId(), clock.nowMs()))
        .forEach(newlyWarm::addUpstreams);
    if (!isLocal(sender) && newlyWarm.getUpstreamsCount() > 0) {
      PeerFrame frame = frame(newlyWarm);
      peers.openIn(self.dataCentre()).forEach(vm -> peers.send(vm, frame));
    }
  }

  /**
   * Returns the entry VM that should hold the gate of an upstream, or empty if no live entry VM is
   * known. Thread-safe.
   */
  public Optional<String> findHolder(String upstream) {
    return GateLeaseManager.chooseHolder(upstream, liveVms);
  }
}
