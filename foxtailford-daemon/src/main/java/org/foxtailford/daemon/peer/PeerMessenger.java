package org.foxtailford.daemon.peer;

import java.util.Collection;
import java.util.List;
import org.foxtailford.core.membership.Member;
import org.foxtailford.schema.PeerFrame;

/** Maintains links to other entry VMs and sends messages over them. */
public interface PeerMessenger {

  /**
   * Creates the links that this VM requires to the given members and closes all others.
   *
   * @param members known entry VMs of all data centres
   * @param neighbours neighbours of this VM in the dissemination tree
   */
  void update(List<Member> members, Collection<String> neighbours);

  /** Sends a message to an entry VM, or drops it if there is no open link. */
  void send(String vm, PeerFrame frame);

  /** Returns the names of the entry VMs of a data centre to which a link is open, possibly none. */
  List<String> openIn(String dataCentre);
}
