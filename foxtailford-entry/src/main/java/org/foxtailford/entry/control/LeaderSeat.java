package org.foxtailford.entry.control;

import java.util.Optional;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * Who leads, as far as this entry VM knows.
 *
 * @param node name of the entry VM
 * @param life start of its process
 * @param term number of its time as leader
 * @param address where it listens for peers
 * @param rowVersion version of its row in the store; 0 if only a peer told of it
 */
record LeaderSeat(String node, long life, long term, UpstreamAddress address, long rowVersion) {

  LeaderSeat {
    Assert.hasLength(node, "node");
    Assert.notNull(address, "address");
  }

  static Optional<LeaderSeat> newer(Optional<LeaderSeat> known, LeaderSeat told) {
    boolean isNewer =
        known.isEmpty()
            || told.term() > known.get().term()
            || told.term() == known.get().term() && told.rowVersion() > known.get().rowVersion();
    return isNewer ? Optional.of(told) : known;
  }
}
