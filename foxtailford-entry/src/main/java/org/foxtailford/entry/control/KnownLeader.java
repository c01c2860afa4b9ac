package org.foxtailford.entry.control;

import java.util.Optional;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * The leader, as far as this entry VM knows.
 *
 * @param node name of the leading entry VM
 * @param incarnation start time of its process, in Unix milliseconds
 * @param term term of its leadership
 * @param address address at which it listens for peers
 * @param rowVersion version of the leader record in the store; {@link StoreVersion#NONE} if it is
 *     known only from the leader's own message
 */
record KnownLeader(
    String node, long incarnation, long term, UpstreamAddress address, StoreVersion rowVersion) {

  KnownLeader {
    Assert.hasLength(node, "node");
    Assert.notNull(address, "address");
    Assert.notNull(rowVersion, "rowVersion");
  }

  /** Returns the candidate if it has a higher term or, in the same term, a later row version. */
  static Optional<KnownLeader> newer(Optional<KnownLeader> current, KnownLeader candidate) {
    boolean isNewer =
        current.isEmpty()
            || candidate.term() > current.get().term()
            || candidate.term() == current.get().term()
                && candidate.rowVersion().isAheadOf(current.get().rowVersion());
    return isNewer ? Optional.of(candidate) : current;
  }
}
