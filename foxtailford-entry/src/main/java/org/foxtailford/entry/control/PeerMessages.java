package org.foxtailford.entry.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.store.TableMirror;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.KeyLoad;
import org.foxtailford.schema.entry.LeavingUpstream;
import org.foxtailford.schema.entry.PeerReply;
import org.foxtailford.schema.entry.PeerReport;
import org.foxtailford.schema.entry.RangeMove;
import org.foxtailford.schema.entry.TableAge;
import org.foxtailford.schema.entry.TableRows;
import org.foxtailford.schema.entry.TableVersion;
import org.foxtailford.schema.entry.UpstreamLoss;

/**
 * Builds the messages between entry VMs from this VM's routing state, and applies what others send.
 * Confined to the event loop.
 */
final class PeerMessages {

  private final EntryIdentity self;
  private final EntryRoutingState state;
  private final MillisClock clock;
  private final LossExchange losses;
  private final ShareReports shares;
  private final UpstreamLinks links;
  private final RowPacker packer = new RowPacker();

  PeerMessages(
      EntryIdentity self,
      EntryRoutingState state,
      ReportContents contents,
      UpstreamLinks links,
      MillisClock clock) {
    this.self = Assert.notNull(self, "self");
    this.state = Assert.notNull(state, "state");
    this.links = Assert.notNull(links, "links");
    this.losses = contents.losses();
    this.shares = contents.shares();
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Returns a report that asks for everything newer than what this VM knows. */
  PeerReport.Builder report(Optional<KnownLeader> leader) {
    PeerReport.Builder report = newReport().addAllLeaving(leaving());
    leader.ifPresent(known -> report.setLeaderTerm(known.term()));
    losses.addTo(report, leader);
    for (TableMirror mirror : state.mirrors()) {
      report.addWanted(
          TableVersion.newBuilder()
              .setTable(mirror.table())
              .setEra(mirror.version().era())
              .setVersion(mirror.version().number()));
    }
    return report;
  }

  /** Returns a report to the leader that also contains the loads since the last one. */
  PeerReport loadReport(Optional<KnownLeader> leader) {
    PeerReport.Builder report = report(leader).addAllWorkTimes(state.counters().drainWorkTimes());
    shares.addTo(report, leader);
    state
        .counters()
        .drainKeyCounts()
        .forEach(
            (service, keys) ->
                keys.forEach(
                    (key, count) ->
                        report.addKeyLoads(
                            KeyLoad.newBuilder()
                                .setService(service)
                                .setKey(key)
                                .setRequests(count))));
    return report.build();
  }

  /** Returns a report by which this VM, as the leader, announces itself and pushes rows. */
  PeerReport announcement(KnownLeader leader, Collection<TableRows> rows) {
    return newReport().setLeaderTerm(leader.term()).setLeads(true).addAllPushed(rows).build();
  }

  /** Returns a report by which the leader tells losses of upstreams that it has just heard of. */
  PeerReport losses(KnownLeader leader, Collection<UpstreamLoss> losses) {
    return newReport().setLeaderTerm(leader.term()).setLeads(true).addAllLosses(losses).build();
  }

  /** Returns a report by which this VM tells that it has stopped leading. */
  PeerReport resignation(KnownLeader leader) {
    return newReport().setResignedTerm(leader.term()).build();
  }

  /** Returns a report by which the leader tells which ranges it takes away from their owners. */
  PeerReport moves(KnownLeader leader, String service, Collection<RangeAssignment> ranges) {
    PeerReport.Builder report = newReport().setLeaderTerm(leader.term()).setLeads(true);
    for (RangeAssignment range : ranges) {
      report.addMoves(
          RangeMove.newBuilder().setService(service).setRange(RecordCodec.toRecord(range)));
    }
    return report.build();
  }

  private PeerReport.Builder newReport() {
    return PeerReport.newBuilder()
        .setNode(self.node())
        .setLife(self.incarnation())
        .setHost(self.address().host())
        .setPort(self.address().port())
        .setCutOff(links.isCutOff());
  }

  /** Returns a message with some rows of a table, all of the era of this VM's copy. */
  TableRows rows(String table, Collection<Row> rows) {
    return RecordCodec.toMessage(state.mirror(table), rows, packer);
  }

  /**
   * Adds to a reply what a report asks for, and the upstreams that are leaving.
   *
   * @param ownTerm term in which this VM leads; empty if it doesn't
   */
  void addState(PeerReply.Builder reply, PeerReport report, OptionalLong ownTerm) {
    for (TableVersion wanted : report.getWantedList()) {
      TableMirror mirror = state.mirrorOrNull(wanted.getTable());
      StoreVersion known = new StoreVersion(wanted.getEra(), wanted.getVersion());
      if (mirror != null && mirror.version().isAheadOf(known)) {
        RowPage changes = mirror.changesAfter(known);
        reply.addTables(
            RecordCodec.toMessage(mirror, changes.rows(), packer).toBuilder()
                .setSnapshot(changes.snapshot()));
      }
    }
    reply.addAllLeaving(leaving());
    losses.addTo(reply, report, ownTerm);
    shares.addTo(reply, report, ownTerm);
    addAges(reply);
  }

  private void addAges(PeerReply.Builder reply) {
    for (TableMirror mirror : state.mirrors()) {
      state
          .ages()
          .ageMs(mirror.table())
          .ifPresent(
              ageMs ->
                  reply.addAges(
                      TableAge.newBuilder()
                          .setTable(mirror.table())
                          .setEra(mirror.version().era())
                          .setAgeMs(ageMs)));
    }
  }

  private List<LeavingUpstream> leaving() {
    List<LeavingUpstream> leaving = new ArrayList<>();
    for (UpstreamEntry entry : state.upstreams().leaving()) {
      leaving.add(
          LeavingUpstream.newBuilder().setUpstream(entry.id()).setBornMs(entry.bornMs()).build());
    }
    return leaving;
  }

  /**
   * Applies a reply to a report of this VM.
   *
   * @param sentMs when the report was sent, by the clock of the copies' ages, in milliseconds
   */
  void apply(PeerReply reply, long sentMs) {
    for (TableRows rows : reply.getTablesList()) {
      state.apply(rows.getTable(), RecordCodec.toPage(rows), RecordCodec.eraBegin(rows));
    }
    for (TableAge age : reply.getAgesList()) {
      TableMirror mirror = state.mirrorOrNull(age.getTable());
      if (mirror != null && mirror.version().era() == age.getEra() && age.getAgeMs() >= 0) {
        state.ages().record(age.getTable(), sentMs - age.getAgeMs());
      }
    }
    markLeaving(reply.getLeavingList(), clock.nowMs());
  }

  /** Applies rows that the leader pushes, and what another VM has heard of leaving upstreams. */
  void apply(PeerReport report, long nowMs) {
    for (RangeMove move : report.getMovesList()) {
      state.recordMoves(
          move.getService(), List.of(RecordCodec.toAssignment(move.getRange())), nowMs);
    }
    for (TableRows rows : report.getPushedList()) {
      state.applyPushedRows(rows.getTable(), RecordCodec.toPage(rows));
    }
    markLeaving(report.getLeavingList(), nowMs);
  }

  private void markLeaving(List<LeavingUpstream> leaving, long nowMs) {
    leaving.forEach(
        upstream -> state.markLeaving(upstream.getUpstream(), upstream.getBornMs(), nowMs));
  }
}
