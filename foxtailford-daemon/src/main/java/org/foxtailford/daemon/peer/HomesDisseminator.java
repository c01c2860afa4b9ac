package org.foxtailford.daemon.peer;

import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.control.KnownHomes;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.HomesRow;
import org.foxtailford.schema.PeerFrame;

/**
 * Forwards new homes of ranges to other entry VMs, so that they need not wait for their next read
 * of the table.
 *
 * <p>An entry VM that reads a newer row from the table sends it along the tree of its data centre
 * and to the other data centres; one that receives a newer row from a peer forwards it along its
 * tree. Messages are not retried: a VM that misses one gets the row with its next read. Not
 * thread-safe: all calls run on the control executor.
 */
public final class HomesDisseminator implements PeerFrameHandler {

  private final PeerIdentity self;
  private final KnownHomes knownHomes;
  private final PeerMessenger peers;
  private final Supplier<DisseminationTree> tree;
  private final Supplier<? extends Collection<String>> remotePeers;

  /**
   * Creates a disseminator.
   *
   * @param self identity of this process
   * @param knownHomes rows known to this VM, updated with received ones
   * @param peers sends messages
   * @param tree supplies the current dissemination tree of this data centre
   * @param remotePeers supplies the names of the linked entry VMs of other data centres
   */
  public HomesDisseminator(
      PeerIdentity self,
      KnownHomes knownHomes,
      PeerMessenger peers,
      Supplier<DisseminationTree> tree,
      Supplier<? extends Collection<String>> remotePeers) {
    this.self = Assert.notNull(self, "self");
    this.knownHomes = Assert.notNull(knownHomes, "knownHomes");
    this.peers = Assert.notNull(peers, "peers");
    this.tree = Assert.notNull(tree, "tree");
    this.remotePeers = Assert.notNull(remotePeers, "remotePeers");
  }

  /** Sends a row that this VM read from the table to its neighbours and to other data centres. */
  public void announce(HomesRow row) {
    PeerFrame frame = PeerFrame.newBuilder().setHomesRow(row).build();
    tree.get().neighbours(self.vm()).forEach(vm -> peers.send(vm, frame));
    remotePeers.get().forEach(vm -> peers.send(vm, frame));
  }

  @Override
  public boolean onFrame(PeerIdentity sender, PeerFrame frame) {
    if (!frame.hasHomesRow()) {
      return false;
    }
    if (knownHomes.receive(frame.getHomesRow())) {
      List<String> neighbours = tree.get().neighbours(self.vm());
      neighbours.stream()
          .filter(vm -> !vm.equals(sender.vm()))
          .forEach(vm -> peers.send(vm, frame));
    }
    return true;
  }
}
