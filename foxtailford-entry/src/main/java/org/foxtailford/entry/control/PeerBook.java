package org.foxtailford.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.TableMirror;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.MemberRecord;

/** Other entry VMs and when they were last heard of. Used on the event loop only. */
final class PeerBook {

  /** Time after a report for which an entry VM counts as alive, in milliseconds. */
  static final long ALIVE_MS = 2500;

  private final String node;
  private final TableMirror members;
  private final Random random;
  private List<UpstreamAddress> seeds;
  private final Map<String, UpstreamAddress> addresses = new HashMap<>();
  private final Map<String, Long> heardMs = new HashMap<>();

  PeerBook(String node, TableMirror members, List<UpstreamAddress> seeds, Random random) {
    this.node = Assert.hasLength(node, "node");
    this.members = Assert.notNull(members, "members");
    this.seeds = List.copyOf(seeds);
    this.random = Assert.notNull(random, "random");
  }

  void replaceSeeds(List<UpstreamAddress> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /** Notes a report of an entry VM. */
  void heard(String peer, UpstreamAddress address, long nowMs) {
    addresses.put(peer, address);
    heardMs.put(peer, nowMs);
  }

  /** Returns the entry VMs that reported lately. */
  Map<String, UpstreamAddress> alive(long nowMs) {
    Map<String, UpstreamAddress> alive = new HashMap<>();
    heardMs.forEach(
        (peer, heard) -> {
          if (nowMs - heard <= ALIVE_MS) {
            alive.put(peer, addresses.get(peer));
          }
        });
    return alive;
  }

  /** Returns any other entry VM's address. */
  Optional<UpstreamAddress> any(UpstreamAddress self) {
    List<UpstreamAddress> known = new ArrayList<>(all(self));
    return known.isEmpty()
        ? Optional.empty()
        : Optional.of(known.get(random.nextInt(known.size())));
  }

  /** Returns the addresses of all other entry VMs that are known, alive or not. */
  Set<UpstreamAddress> all(UpstreamAddress self) {
    Set<UpstreamAddress> known = new LinkedHashSet<>(seeds);
    known.addAll(addresses.values());
    for (Row row : members.all()) {
      if (!row.deleted() && !row.key().equals(node)) {
        memberAddress(row).ifPresent(known::add);
      }
    }
    known.remove(self);
    return known;
  }

  private static Optional<UpstreamAddress> memberAddress(Row row) {
    try {
      MemberRecord member = RecordCodec.member(row);
      return Optional.of(new UpstreamAddress(member.getHost(), member.getPort()));
    } catch (UnreadableRowException | IllegalArgumentException e) {
      return Optional.empty(); // the row was logged when it came
    }
  }
}
