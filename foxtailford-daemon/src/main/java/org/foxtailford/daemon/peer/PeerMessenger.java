package org.foxtailford.daemon.peer;

import java.util.Collection;
import java.util.List;
import org.foxtailford.core.membership.Member;
import org.foxtailford.schema.PeerFrame;

/** Sends messages to other entry VMs. */
public interface PeerMessenger {

  /**
   * Opens the links that are wanted and closes all others.
   *
   * @param members entry VMs of all data centres
   * @param neighbours neighbours of this VM in the dissemination tree
   */
  void update(List<Member> members, Collection<String> neighbours);

  /** Sends a message to one entry VM, or drops it if there is no open link. */
  void send(String vm, PeerFrame frame);

  /** Returns the names of the entry VMs of a data centre with an open link. */
  List<String> openIn(String dataCentre);
}
