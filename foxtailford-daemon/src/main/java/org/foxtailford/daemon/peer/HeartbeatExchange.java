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
 * Sends heartbeats along the dissemination tree and updates peers that report older versions.
 *
 * <p>A heartbeat to the parent carries the sightings collected in the subtree; a heartbeat to a
 * child carries versions only. Not thread-safe: all calls run on the control executor.
 */
public final class HeartbeatExchange implements PeerFrameHandler {

  /** Heartbeats to the parent after which unchanged sightings are sent again. */
  private static final int SIGHTINGS_REFRESH_HEARTBEATS = 16;

  /**
   * Rounds between heartbeats of a VM other than the root to other data centres. The root sends
   * them in every round.
   */
  private static final int REMOTE_HEARTBEAT_INTERVAL_ROUNDS = 10;

  /**
   * Rounds between heartbeats to members that are considered lost, so that a member that is
   * reachable again is detected.
   */
  private static final int LOST_HEARTBEAT_INTERVAL_ROUNDS = 5;

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

  /** Versioned state that heartbeats keep in step between entry VMs. */
  public interface VersionedState {

    /** Sets the versions that this VM holds in an outgoing heartbeat. */
    void addVersions(PeerHeartbeat.Builder heartbeat);

    /**
     * Returns the messages that bring the sender of a heartbeat up to date.
     *
     * @param sender process that sent the heartbeat
     * @param received heartbeat with the versions that the sender holds
     * @return the messages, empty if the sender needs none
     */
    List<PeerFrame> updatesFor(PeerIdentity sender, PeerHeartbeat received);

    /** Returns the epoch in which this VM leads its data centre, or empty if it does not lead. */
    Optional<Long> leadingEpoch();
  }

  /**
   * Creates an exchange whose tree initially contains only this VM.
   *
   * @param self identity of this process
   * @param tracker membership that heartbeats update
   * @param network sends heartbeats and updates
   * @param state versions that heartbeats carry
   */
  public HeartbeatExchange(
      PeerIdentity self, MembershipTracker tracker, PeerMessenger network, VersionedState state) {
    this.self = Assert.notNull(self, "self");
    this.tracker = Assert.notNull(tracker, "tracker");
    this.network = Assert.notNull(network, "network");
    this.state = Assert.notNull(state, "state");
    this.tree = DisseminationTree.singleton(self.vm());
  }

  /** Marks this VM as leaving in all heartbeats from the next one on. */
  public void announceLeaving() {
    leaving = true;
  }

  /**
   * Updates the links and sends one heartbeat to each neighbour, and to other data centres and lost
   * members in the rounds that are due. Called at every heartbeat interval.
   */
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
    boolean remoteHeartbeatDue = ++rounds % REMOTE_HEARTBEAT_INTERVAL_ROUNDS == 0;
    if (parent.isEmpty() || remoteHeartbeatDue) {
      members.stream()
          .map(Member::dataCentre)
          .distinct()
          .filter(dataCentre -> !dataCentre.equals(self.dataCentre()))
          .flatMap(dataCentre -> network.openIn(dataCentre).stream())
          .forEach(vm -> network.send(vm, heartbeat(List.of())));
    }
    if (rounds % LOST_HEARTBEAT_INTERVAL_ROUNDS == 0) {
      sendHeartbeatsToLostMembers();
    }
  }

  /**
   * Sends heartbeats to linked VMs of this data centre that are not usable. Two VMs that consider
   * each other lost share no tree, so without these neither would detect the other again.
   */
  private void sendHeartbeatsToLostMembers() {
    List<String> usable = tracker.usableVms(self.dataCentre());
    network.openIn(self.dataCentre()).stream()
        .filter(vm -> !usable.contains(vm))
        .forEach(vm -> network.send(vm, heartbeat(List.of())));
  }

  /**
   * Returns the dissemination tree of the entry VMs that this VM considers usable in its data
   * centre.
   */
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

  /**
   * Returns the sightings of the subtree if the parent changed, the sightings changed or a refresh
   * is due, and an empty list otherwise.
   */
  private List<MemberSighting> sightingsFor(String parent) {
    List<MemberSighting> recent = tracker.recentSightings(self.bootId(), leaving);
    Set<String> identities = identities(recent);
    boolean unchanged = parent.equals(sightingsParent) && identities.equals(sentIdentities);
    boolean refreshDue = ++heartbeatsSinceSightings >= SIGHTINGS_REFRESH_HEARTBEATS;
    if (unchanged && !refreshDue) {
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

  /** Publishes a new version of the membership if it changed or this VM began a new term. */
  private void publishMembers(long epoch) {
    List<MemberSighting> recent = tracker.recentSightings(self.bootId(), leaving);
    Set<String> identities = identities(recent);
    Fence currentVersion = tracker.updateVersion();
    boolean sameTerm = currentVersion.epoch() == epoch;
    if (sameTerm && identities.equals(publishedIdentities)) {
      return;
    }
    publishedIdentities = identities;
    Fence version = new Fence(epoch, sameTerm ? currentVersion.sequence() + 1 : 1);
    lastUpdate =
        MembershipUpdate.newBuilder()
            .setDataCentre(self.dataCentre())
            .setLeader(self.vm())
            .setVersion(version.toValue())
            .addAllMembers(recent)
            .build();
    tracker.onUpdate(lastUpdate);
  }

  /** Handles heartbeats and membership updates of the leader. */
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

  /**
   * Records that the sender was heard, and the sightings that it reports, and sends it the updates
   * that it lacks. Sightings and membership versions from other data centres are ignored.
   */
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

  /** Applies a membership update of the leader if it is newer than the current one. */
  public void onMembership(MembershipUpdate update) {
    if (tracker.onUpdate(update)) {
      lastUpdate = update;
    }
  }
}
