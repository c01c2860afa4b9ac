package org.foxtailford.daemon.coldstart;

import java.util.List;
import java.util.Optional;
import org.foxtailford.core.ownership.HeldLease;

/** What the gates of a data centre depend on, as this VM sees it. Called on one thread. */
public interface GateMembership {

  /** Returns the lease under which this VM leads its data centre at this moment. */
  Optional<HeldLease> leadership();

  /** Returns the name of the data centre's leader as far as it is known. */
  Optional<String> leader();

  /** Returns the names of the live entry VMs of the data centre, this one included. */
  List<String> liveVms();
}
