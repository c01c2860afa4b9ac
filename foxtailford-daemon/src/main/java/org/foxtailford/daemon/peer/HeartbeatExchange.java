package org.foxtailford.daemon.peer;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailford.core.membership.Member;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.MemberSighting;
import org.foxtailford.schema.MembershipUpdate;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PeerHeartbeat;

/**
 * Sends heartbeats along the dissemination tree and brings whoever is behind up to date.
 *
 * <p>Heartbeats rise with what was heard in the subtree and descend with versions only. Not
 * thread-safe: all calls run on the control executor.
 */
public final class HeartbeatExchange implements PeerFrameHandler {

  private static final int SIGHTINGS_REFRESH_HEARTBEATS = 16;

  /** Below the root, other data centres hear from a VM more rarely than its neighbours. */
  private static final int REMOTE_HEARTBEAT_ROUNDS = 10;

  /**
   * Members that count as lost hear from a VM at this many rounds, so that they are found again.
   */
  private static final int LOST_HEARTBEAT_ROUNDS = 5;

  private final PeerIdentity self;
  private final MembershipTracker tracker;
  private final PeerMessenger network;
  private final VersionedState state;
  private Set<String> publishedIdentities = Set.of();
  private Set<String> sentIdentities = Set.of();
  private String sightingsParent = "";
  private int heartbeatsSinceSightings;
  private MembershipUpdate lastUpdate = MembershipUpdate.getDefaultInstance();
  private Optional<String> treeLeader = Optional.empty();
  private List<String> treeMembers = List.of();
  private DisseminationTree tree;
  private long sequence;
  private long rounds;
  private boolean leaving;

  /** State that spreads by versions. */
  public interface VersionedState {

    /** Fills in the versions that this VM has. */
    void addVersions(PeerHeartbeat.Builder heartbeat);

    /** Returns messages with what the sender of a heartbeat lacks. */
    List<PeerFrame> updatesFor(PeerIdentity sender, PeerHeartbeat received);

    /** Returns the epoch under which this VM leads its data centre. */
    Optional<Long> leadingEpoch();
  }

  public HeartbeatExchange(
      PeerIdentity self, MembershipTracker tracker, PeerMessenger network, VersionedState state) {
    this.self = Assert.notNull(self, "self");
    this.tracker = Assert.notNull(tracker, "tracker");
    this.network = Assert.notNull(network, "network");
    this.state = Assert.notNull(state, "state");
    this.tree = DisseminationTree.singleton(self.vm());
  }

  /** Announces from the next heartbeat on that this VM is about to stop. */
  public void announceLeaving() {
    leaving = true;
  }

  /** Sends one heartbeat to each neighbour. Called at every heartbeat interval. */
  public void tick() {
    List<Member> members = tracker.members();
    DisseminationTree tree = tree();
    List<String> neighbours = tree.neighbours(self.vm());
    network.update(members, neighbours);
    tracker.expectHeartbeatsFrom(neighbours);
    state.leadingEpoch().ifPresent(this::publishMembers);
    Optional<String> parent = tree.parent(self.vm());
    tree.children(self.vm()).forEach(vm -> network.send(vm, heartbeat(List.of())));
    parent.ifPresent(vm -> network.send(vm, heartbeat(sightingsFor(vm))));
    boolean remoteRound = ++rounds % REMOTE_HEARTBEAT_ROUNDS == 0;
    if (parent.isEmpty() || remoteRound) {
      members.stream()
          .map(Member::dataCentre)
          .distinct()
          .filter(dataCentre -> !dataCentre.equals(self.dataCentre()))
          .flatMap(dataCentre -> network.openIn(dataCentre).stream())
          .forEach(vm -> network.send(vm, heartbeat(List.of())));
    }
    if (rounds % LOST_HEARTBEAT_ROUNDS == 0) {
      sendToLost();
    }
  }

  /** Two VMs that each took the other for lost are in no common tree and would stay apart. */
  private void sendToLost() {
    List<String> usable = tracker.usableVms(self.dataCentre());
    network.openIn(self.dataCentre()).stream()
        .filter(vm -> !usable.contains(vm))
        .forEach(vm -> network.send(vm, heartbeat(List.of())));
  }

  /** Returns the tree of the usable entry VMs of this data centre, as this VM sees them. */
  public DisseminationTree tree() {
    Optional<String> leader =
        state.leadingEpoch().isPresent() ? Optional.of(self.vm()) : tracker.leader();
    List<String> usable = tracker.usableVms(self.dataCentre());
    if (!leader.equals(treeLeader) || !usable.equals(treeMembers)) {
      treeLeader = leader;
      treeMembers = usable;
      tree = DisseminationTree.of(self.dataCentre(), leader, usable, DisseminationTree.FAN_OUT);
    }
    return tree;
  }

  /** Returns what was heard in the subtree if the parent may not know it; nothing otherwise. */
  private List<MemberSighting> sightingsFor(String parent) {
    List<MemberSighting> recent = tracker.recentSightings(self.bootId(), leaving);
    Set<String> identities = identities(recent);
    boolean known = parent.equals(sightingsParent) && identities.equals(sentIdentities);
    boolean refresh = ++heartbeatsSinceSightings >= SIGHTINGS_REFRESH_HEARTBEATS;
    if (known && !refresh) {
      return List.of();
    }
    sightingsParent = parent;
    sentIdentities = identities;
    heartbeatsSinceSightings = 0;
    return recent;
  }

  private static Set<String> identities(List<MemberSighting> sightings) {
    return sightings.stream()
        .map(m -> m.getVm() + '/' + m.getBootId() + '/' + m.getLeaving())
        .collect(Collectors.toSet());
  }

  private PeerFrame heartbeat(List<MemberSighting> sightings) {
    PeerHeartbeat.Builder heartbeat =
        PeerHeartbeat.newBuilder()
            .setSequence(++sequence)
            .setLeaving(leaving)
            .setLeader(tracker.leader().orElse(""))
            .setMembershipVersion(tracker.updateVersion().toValue());
    state.addVersions(heartbeat);
    heartbeat.addAllSightings(sightings);
    return PeerFrame.newBuilder().setHeartbeat(heartbeat).build();
  }

  private void publishMembers(long epoch) {
    List<MemberSighting> recent = tracker.recentSightings(self.bootId(), leaving);
    Set<String> identities = identities(recent);
    Fence known = tracker.updateVersion();
    boolean sameTerm = known.epoch() == epoch;
    if (sameTerm && identities.equals(publishedIdentities)) {
      return;
    }
    publishedIdentities = identities;
    Fence version = new Fence(epoch, sameTerm ? known.sequence() + 1 : 1);
    lastUpdate =
        MembershipUpdate.newBuilder()
            .setDataCentre(self.dataCentre())
            .setLeader(self.vm())
            .setVersion(version.toValue())
            .addAllMembers(recent)
            .build();
    tracker.onUpdate(lastUpdate);
  }

  /** Receives heartbeats and the leader's view of the members. */
  @Override
  public boolean onFrame(PeerIdentity sender, PeerFrame frame) {
    if (frame.hasHeartbeat()) {
      onHeartbeat(sender, frame.getHeartbeat());
    } else if (frame.hasMembership()) {
      onMembership(frame.getMembership());
    } else {
      return false;
    }
    return true;
  }

  /** Receives a heartbeat. */
  public void onHeartbeat(PeerIdentity sender, PeerHeartbeat heartbeat) {
    tracker.onDirectSighting(sender.vm(), sender.bootId(), heartbeat.getLeaving());
    boolean sameDataCentre = sender.dataCentre().equals(self.dataCentre());
    if (sameDataCentre) {
      tracker.onSightings(heartbeat.getSightingsList());
      Fence version = Fence.of(heartbeat.getMembershipVersion());
      if (version.compareTo(tracker.updateVersion()) < 0) {
        PeerFrame update = PeerFrame.newBuilder().setMembership(lastUpdate).build();
        network.send(sender.vm(), update);
      }
    }
    state.updatesFor(sender, heartbeat).forEach(frame -> network.send(sender.vm(), frame));
  }

  /** Receives the leader's view of the members. */
  public void onMembership(MembershipUpdate update) {
    if (tracker.onUpdate(update)) {
      lastUpdate = update;
    }
  }
}
