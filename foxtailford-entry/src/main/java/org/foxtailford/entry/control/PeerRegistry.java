package org.foxtailford.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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

/** Tracks the other entry VMs and their last reports. Confined to the event loop. */
final class PeerRegistry {

  /** Time after its last report for which an entry VM counts as live, in milliseconds. */
  static final long LIVENESS_TIMEOUT_MS = 2500;

  private final String node;
  private final TableMirror members;
  private final Random random;
  private List<UpstreamAddress> seeds;
  private final Map<String, UpstreamAddress> addresses = new HashMap<>();
  private final Map<String, Long> lastReportMs = new HashMap<>();
  private final Set<String> cutOff = new HashSet<>();

  PeerRegistry(String node, TableMirror members, List<UpstreamAddress> seeds, Random random) {
    this.node = Assert.hasLength(node, "node");
    this.members = Assert.notNull(members, "members");
    this.seeds = List.copyOf(seeds);
    this.random = Assert.notNull(random, "random");
  }

  void replaceSeeds(List<UpstreamAddress> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /**
   * Records the time of an entry VM's report and what it states.
   *
   * @param isCutOff whether it reaches no upstream
   */
  void recordReport(String peer, UpstreamAddress address, boolean isCutOff, long nowMs) {
    if (isCutOff) {
      cutOff.add(peer);
    } else {
      cutOff.remove(peer);
    }
    addresses.put(peer, address);
    lastReportMs.put(peer, nowMs);
  }

  /** Returns the addresses of the live entry VMs by name. */
  Map<String, UpstreamAddress> livePeers(long nowMs) {
    Map<String, UpstreamAddress> livePeers = new HashMap<>();
    lastReportMs.forEach(
        (peer, reportedMs) -> {
          if (nowMs - reportedMs <= LIVENESS_TIMEOUT_MS) {
            livePeers.put(peer, addresses.get(peer));
          }
        });
    return livePeers;
  }

  /** Returns whether another live entry VM reaches upstreams. */
  boolean hasPeerInReachOfUpstreams(long nowMs) {
    return livePeers(nowMs).keySet().stream().anyMatch(peer -> !cutOff.contains(peer));
  }

  /** Returns the address of a random other entry VM, live or not; empty if none is known. */
  Optional<UpstreamAddress> pickRandom(UpstreamAddress self) {
    List<UpstreamAddress> known = new ArrayList<>(allAddresses(self));
    return known.isEmpty()
        ? Optional.empty()
        : Optional.of(known.get(random.nextInt(known.size())));
  }

  /** Returns the addresses of all other known entry VMs, live or not. */
  Set<UpstreamAddress> allAddresses(UpstreamAddress self) {
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
      MemberRecord member = RecordCodec.parseMember(row);
      return Optional.of(new UpstreamAddress(member.getHost(), member.getPort()));
    } catch (UnreadableRowException | IllegalArgumentException e) {
      return Optional.empty(); // skipped, so that the other members stay usable
    }
  }
}
