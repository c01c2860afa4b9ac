package org.foxtailford.daemon.coldstart;

import java.util.List;
import java.util.Optional;
import org.foxtailford.core.ownership.HeldLease;

/**
 * Provides this VM's view of the leader and the live entry VMs of its data centre, from which gate
 * holders are chosen. All methods are called on one thread.
 */
public interface GateMembership {

  /** Returns the current leadership lease, or empty if this VM is not the leader. */
  Optional<HeldLease> leadership();

  /** Returns the name of the leader of the data centre, or empty if it is unknown. */
  Optional<String> leader();

  /** Returns the names of the live entry VMs of the data centre, including this VM. */
  List<String> liveVms();
}
