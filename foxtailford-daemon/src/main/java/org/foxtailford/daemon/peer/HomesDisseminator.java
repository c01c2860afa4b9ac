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
 * Passes new homes of ranges on to other entry VMs, so that they need not wait for their next read
 * of the table.
 *
 * <p>Who reads a row newer than it knew sends it along the tree of its data centre and to the other
 * data centres; who receives one that is new to it sends it on along the tree. A row that is lost
 * on the way comes with the next read. Not thread-safe: all calls run on the control executor.
 */
public final class HomesDisseminator implements PeerFrameHandler {

  private final PeerIdentity self;
  private final KnownHomes known;
  private final PeerMessenger peers;
  private final Supplier<DisseminationTree> tree;
  private final Supplier<? extends Collection<String>> remotePeers;

  /**
   * Creates the spread.
   *
   * @param self this process
   * @param known takes the rows
   * @param peers sends messages
   * @param tree gives the entry VMs of this data centre
   * @param remotePeers gives the entry VMs of other data centres to which there is a link
   */
  public HomesDisseminator(
      PeerIdentity self,
      KnownHomes known,
      PeerMessenger peers,
      Supplier<DisseminationTree> tree,
      Supplier<? extends Collection<String>> remotePeers) {
    this.self = Assert.notNull(self, "self");
    this.known = Assert.notNull(known, "known");
    this.peers = Assert.notNull(peers, "peers");
    this.tree = Assert.notNull(tree, "tree");
    this.remotePeers = Assert.notNull(remotePeers, "remotePeers");
  }

  /** Sends on a row that this VM read from the table. */
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
    if (known.receive(frame.getHomesRow())) {
      List<String> neighbours = tree.get().neighbours(self.vm());
      neighbours.stream()
          .filter(vm -> !vm.equals(sender.vm()))
          .forEach(vm -> peers.send(vm, frame));
    }
    return true;
  }
}
