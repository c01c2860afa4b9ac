package org.foxtailford.entry.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.MemberRecord;

/**
 * Ranks the live entry VMs of each data centre as its coordinators, alike on all VMs that know the
 * same live VMs: the strong ones that started first come first. The work is divided into groups,
 * one per 100 VMs of the data centre, each with another VM at its head. Confined to the event loop.
 */
public final class DataCentreCoordinators {

  /** Number of VMs of a data centre from which its work is divided into one more group. */
  static final int VMS_PER_GROUP = 100;

  /** Number of VMs of a ranking that are used: the coordinator and the next ones in order. */
  private static final int RANKED = 3;

  /** Fraction of the largest capacity from which a VM counts as one with much capacity. */
  private static final double STRONG_SHARE = 0.75;

  private final EntryIdentity self;
  private final EntryRoutingState state;
  private final Map<String, List<ExchangePeer>> rankings = new HashMap<>();
  private final Map<String, Long> lives = new HashMap<>();
  private final Map<String, Integer> millicores = new HashMap<>();
  private Map<String, Map<String, ExchangePeer>> peersByDataCentre = Map.of();
  private Collection<String> knownVms = List.of();
  private Object knownMembers = "";

  /** Creates the rankings from the registered members and the live VMs of the routing state. */
  public DataCentreCoordinators(EntryIdentity self, EntryRoutingState state) {
    this.self = Assert.notNull(self, "self");
    this.state = Assert.notNull(state, "state");
  }

  /** Returns the names of the data centres with live entry VMs, this VM's included. */
  public Set<String> dataCentres() {
    refresh();
    return peersByDataCentre.keySet();
  }

  /** Returns the number of groups into which the work of a data centre is divided. */
  public int groups(String dataCentre) {
    refresh();
    int vms = peersByDataCentre.getOrDefault(dataCentre, Map.of()).size();
    return Math.max(1, (vms + VMS_PER_GROUP - 1) / VMS_PER_GROUP);
  }

  /** Returns the number of groups of this VM's data centre. */
  public int groups() {
    return groups(self.dataCentre());
  }

  /** Returns the group of this VM's data centre to which a subject, such as a tenant, belongs. */
  public int groupOf(String subject) {
    return Math.floorMod(subject.hashCode(), groups(self.dataCentre()));
  }

  /** Returns the coordinator of a group and the next ones in order; empty if no VM is live. */
  public List<ExchangePeer> inOrder(String dataCentre, int group) {
    refresh();
    List<ExchangePeer> all = rankings.computeIfAbsent(dataCentre, this::rank);
    List<ExchangePeer> order = new ArrayList<>();
    for (int i = 0; i < Math.min(RANKED, all.size()); i++) {
      order.add(all.get((group + i) % all.size()));
    }
    return order;
  }

  /**
   * Ranks the VMs of a data centre: those with much processor capacity first, since a coordinator
   * answers all others, and among these by the start of their processes. A VM that starts again has
   * lost what it held as a coordinator, so it must not take the place of one that goes on.
   */
  private List<ExchangePeer> rank(String dataCentre) {
    List<ExchangePeer> peers =
        new ArrayList<>(peersByDataCentre.getOrDefault(dataCentre, Map.of()).values());
    int most = peers.stream().mapToInt(this::millicoresOf).max().orElse(0);
    peers.sort(
        Comparator.comparing((ExchangePeer peer) -> millicoresOf(peer) < STRONG_SHARE * most)
            .thenComparingLong((ExchangePeer peer) -> lives.getOrDefault(peer.node(), 0L))
            .thenComparing(ExchangePeer::node));
    return peers;
  }

  private int millicoresOf(ExchangePeer peer) {
    return millicores.getOrDefault(peer.node(), 0);
  }

  /** Records the start of a VM's process as its reply tells it, in Unix milliseconds. */
  void recordLife(String node, long life) {
    if (life > lives.getOrDefault(node, 0L)) {
      lives.put(node, life);
      rankings.clear();
    }
  }

  /** Returns the coordinator of a group of this VM's data centre and the next ones in order. */
  public List<ExchangePeer> inOrder(int group) {
    return inOrder(self.dataCentre(), group);
  }

  private void refresh() {
    Collection<String> liveVms = state.entryVms();
    Object members = state.mirror(SystemTables.MEMBERS).version();
    if (liveVms == knownVms && members.equals(knownMembers)) {
      return;
    }
    knownVms = liveVms;
    knownMembers = members;
    rankings.clear();
    Map<String, Map<String, ExchangePeer>> peers = new TreeMap<>();
    for (ExchangePeer peer : collect(liveVms)) {
      peers.computeIfAbsent(peer.dataCentre(), dc -> new HashMap<>()).put(peer.node(), peer);
    }
    peersByDataCentre = peers;
  }

  private List<ExchangePeer> collect(Collection<String> liveVms) {
    List<ExchangePeer> peers = new ArrayList<>();
    peers.add(new ExchangePeer(self.node(), self.dataCentre(), self.address()));
    recordLife(self.node(), self.incarnation());
    millicores.put(self.node(), (int) Math.round(1000 * self.processorShare()));
    for (Row row : state.mirror(SystemTables.MEMBERS).all()) {
      if (!row.deleted() && !row.key().equals(self.node()) && liveVms.contains(row.key())) {
        try {
          MemberRecord member = RecordCodec.parseMember(row);
          UpstreamAddress address = new UpstreamAddress(member.getHost(), member.getPort());
          peers.add(new ExchangePeer(row.key(), member.getDataCentre(), address));
          recordLife(row.key(), member.getLife());
          millicores.put(row.key(), member.getProcessorMillicores());
        } catch (UnreadableRowException | IllegalArgumentException e) {
          continue; // skipped, so that the other members stay usable
        }
      }
    }
    return peers;
  }
}
