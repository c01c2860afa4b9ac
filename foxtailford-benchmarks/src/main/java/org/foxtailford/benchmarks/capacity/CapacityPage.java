package org.foxtailford.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.schema.PlatformSettings;

/** Works the roles' costs out from measured slopes and writes them as tables. */
final class CapacityPage {

  private static final double BUDGET_BYTES_PER_S = 8192;
  private static final double BUDGET_CORE = 0.026;
  private static final double BUDGET_HEAP_BYTES = 64 << 20;
  private static final double BUDGET_READS_PER_S = 2000;
  private static final double BUDGET_WRITES_PER_S = 300;
  private static final double CHANGES_PER_S = 18_000 / 86_400.0;
  private static final double REPORT_INTERVAL_S = 10;
  private static final int KEYED_SERVICES = 1;
  private static final int POLLERS_PER_DATA_CENTRE = 2;
  private static final int CANDIDATES_PER_DATA_CENTRE = 3;
  private static final int HEARTBEAT_BYTES = 60;
  private static final int TREE_DEGREE = 16;
  private static final double MS_PER_S = 1000;
  private static final double US_PER_S = 1e6;
  private static final double NS_PER_S = 1e9;

  private final Measurement leaderRound = Slopes.leaderRoundUs();
  private final Measurement grantBytes = Slopes.grantBytes();
  private final Measurement placementRound = Slopes.placementRoundUs();
  private final Measurement mapBytes = Slopes.checkpointBytes();
  private final Measurement mapApply = Slopes.mapApplyUs();
  private final Measurement mapHeap = Slopes.mapHeapBytes();
  private final Measurement reportBytes = Slopes.loadReportBytes();
  private final Measurement hotKeyHeap = Slopes.hotKeyHeapBytes();
  private final Measurement decideBySlices = Slopes.decideNsBySlices();
  private final Measurement decideByUpstreams = Slopes.decideNsByUpstreams();
  private final Measurement documentBytes = Slopes.documentBytes();
  private final Measurement vmListBytes = Slopes.vmListBytes();
  private final Measurement documentApply = Slopes.documentApplyUs();
  private final Measurement viewHeap = Slopes.viewHeapBytes();
  private final double renewalsPerS;
  private final double pollsPerS;

  CapacityPage() {
    OwnershipSettings ownership = SettingsDefaults.applyAll(OwnershipSettings.newBuilder()).build();
    PlatformSettings platform = SettingsDefaults.applyAll(PlatformSettings.newBuilder()).build();
    renewalsPerS = MS_PER_S / ownership.getRenewIntervalMs();
    pollsPerS = MS_PER_S / platform.getPollIntervalMs();
  }

  /** Returns the table of slopes. */
  String slopes() {
    List<String> lines = new ArrayList<>();
    lines.add("| quantity | by | measured | slope | at zero | largest error |");
    lines.add("|---|---|---|---:|---:|---:|");
    List.of(
            leaderRound,
            placementRound,
            grantBytes,
            mapBytes,
            mapApply,
            mapHeap,
            reportBytes,
            hotKeyHeap,
            decideBySlices,
            decideByUpstreams,
            documentBytes,
            vmListBytes,
            documentApply,
            viewHeap)
        .forEach(measurement -> lines.add(measurement.row()));
    return String.join("\n", lines);
  }

  /** Returns the costs of one fleet by role. */
  String roles(Fleet fleet) {
    List<String> lines = new ArrayList<>();
    lines.add("| role | cost | today's build | budget | factor | mechanism that carries it |");
    lines.add("|---|---|---:|---:|---:|---|");
    entryVm(fleet, lines);
    entryVmLinks(fleet, lines);
    entryVmProcessor(fleet, lines);
    leader(fleet, lines);
    leaderFeeds(fleet, lines);
    platform(fleet, lines);
    transfers(fleet, lines);
    upstream(fleet, lines);
    return String.join("\n", lines);
  }

  private void entryVm(Fleet fleet, List<String> lines) {
    double slices = fleet.slicesPerDataCentre();
    double vms = fleet.vms();
    double heap = mapHeap.at(slices) + viewHeap.at(vms);
    lines.add(
        row(
            "entry VM",
            "heap of map and configuration, MB",
            heap,
            BUDGET_HEAP_BYTES,
            1e-6,
            "`OwnershipMap`, `ConfigurationView`"));
    double polled = pollsPerS * (documentBytes.at(vms) + vmListBytes.at(vms));
    lines.add(
        row(
            "entry VM",
            "polled configuration and VM list, KB/s",
            polled,
            BUDGET_BYTES_PER_S,
            1e-3,
            "`ConfigurationPoller`"));
    double pushed = CHANGES_PER_S * documentBytes.at(vms);
    lines.add(
        row(
            "entry VM",
            "the same, whole document pushed at each change, KB/s",
            pushed,
            BUDGET_BYTES_PER_S,
            1e-3,
            "not built here: push down a tree"));
    double maps = mapBytes.at(slices);
    lines.add(
        row(
            "entry VM",
            "whole ownership map, one change a second, KB/s",
            maps,
            BUDGET_BYTES_PER_S,
            1e-3,
            "`DataCentreLeader.publishIfChanged`"));
    double reports = reportBytes.at(slices) / REPORT_INTERVAL_S;
    lines.add(
        row(
            "entry VM",
            "load reports every 10 s, KB/s",
            reports,
            BUDGET_BYTES_PER_S,
            1e-3,
            "`SliceLoadRecorder`"));
  }

  private void entryVmLinks(Fleet fleet, List<String> lines) {
    double mesh = fleet.entryVms() * HEARTBEAT_BYTES;
    lines.add(
        row(
            "entry VM",
            "full mesh, one heartbeat a second each, KB/s",
            mesh,
            BUDGET_BYTES_PER_S,
            1e-3,
            "`PeerNetwork` (links to all; heartbeat size assumed)"));
    double tree = (TREE_DEGREE + 1) * HEARTBEAT_BYTES;
    lines.add(
        row(
            "entry VM",
            "the same over a tree of degree 16, KB/s",
            tree,
            BUDGET_BYTES_PER_S,
            1e-3,
            "not built here: tree"));
  }

  private void entryVmProcessor(Fleet fleet, List<String> lines) {
    double slices = fleet.slicesPerDataCentre();
    double vms = fleet.vms();
    double cpu = (pollsPerS * documentApply.at(vms) + mapApply.at(slices)) / US_PER_S;
    lines.add(
        row(
            "entry VM",
            "applying polls and one map a second, % of a core",
            cpu,
            BUDGET_CORE,
            100,
            "`ConfigurationView.of`, `OwnershipMap.of`"));
    double decisions =
        fleet.requestsPerEntryVm()
            * decideByUpstreams.at(fleet.upstreamsPerDataCentre())
            / NS_PER_S;
    lines.add(
        plain(
            "entry VM",
            "routing decisions, % of a core (data path)",
            100 * decisions,
            "`RequestRouter`; `ServiceView.findUpstream` searches a list"));
  }

  private void leader(Fleet fleet, List<String> lines) {
    double upstreams = fleet.upstreamsPerDataCentre();
    double slices = fleet.slicesPerDataCentre();
    double round = renewalsPerS * leaderRound.at(slices) / US_PER_S;
    lines.add(
        row(
            "leader",
            "renewal rounds, % of a core",
            round,
            BUDGET_CORE,
            100,
            "`DataCentreLeader.tick`, with one placement round in each"));
    double placement = placementRound.at(upstreams) / US_PER_S;
    lines.add(
        row(
            "leader",
            "placement, one round a second, % of a core",
            placement,
            BUDGET_CORE,
            100,
            "`LoadAwarePolicy`"));
    double grants = renewalsPerS * upstreams * grantBytes.at(Slopes.SLICES_PER_UPSTREAM);
    lines.add(
        row(
            "leader",
            "grants sent by the leader alone, KB/s",
            grants,
            BUDGET_BYTES_PER_S,
            1e-3,
            "`DataCentreLeader.exchange`"));
    double delegated = grants / fleet.entryVmsPerDataCentre();
    lines.add(
        row(
            "gate",
            "grants delegated evenly to the entry VMs, KB/s each",
            delegated,
            BUDGET_BYTES_PER_S,
            1e-3,
            "not built here: delegation"));
    double renewOnly = renewalsPerS * upstreams * grantBytes.at(0) / fleet.entryVmsPerDataCentre();
    lines.add(
        row(
            "gate",
            "the same without repeating the slices, KB/s each",
            renewOnly,
            BUDGET_BYTES_PER_S,
            1e-3,
            "not built: renewal by digest"));
  }

  private void leaderFeeds(Fleet fleet, List<String> lines) {
    double slices = fleet.slicesPerDataCentre();
    double sends = mapBytes.at(slices) * fleet.entryVmsPerDataCentre();
    lines.add(
        row(
            "leader",
            "ownership map to each entry VM, one change a second, KB/s",
            sends,
            BUDGET_BYTES_PER_S,
            1e-3,
            "`PeerNetwork.broadcastLocally`"));
    double reports = reportBytes.at(slices) * fleet.entryVmsPerDataCentre() / REPORT_INTERVAL_S;
    lines.add(
        row(
            "leader",
            "load reports of all entry VMs every 10 s, KB/s",
            reports,
            BUDGET_BYTES_PER_S,
            1e-3,
            "`SliceLoadAggregator`; a tree adds reports up"));
  }

  private void platform(Fleet fleet, List<String> lines) {
    double polling = pollsPerS * (1 + KEYED_SERVICES);
    double reads = fleet.entryVms() * (renewalsPerS + polling);
    lines.add(
        row(
            "table",
            "reads a second, ordinary running",
            reads,
            BUDGET_READS_PER_S,
            1,
            "`LeaseElection.observe`, `ConfigurationPoller.poll`"));
    double bounded =
        Fleet.DATA_CENTRES
            * (CANDIDATES_PER_DATA_CENTRE * renewalsPerS + POLLERS_PER_DATA_CENTRE * polling);
    lines.add(
        row(
            "table",
            "the same with 3 candidates and 2 pollers a data centre",
            bounded,
            BUDGET_READS_PER_S,
            1,
            "bounded pollers"));
    double writes = Fleet.DATA_CENTRES * renewalsPerS + CHANGES_PER_S;
    lines.add(
        row(
            "table",
            "writes a second, ordinary running",
            writes,
            BUDGET_WRITES_PER_S,
            1,
            "`LeaseElection.renew`; checkpoints come on top once they are written"));
    double without = reads * (Fleet.DATA_CENTRES - 1) / Fleet.DATA_CENTRES;
    lines.add(
        row(
            "table",
            "reads a second after a data centre's loss",
            without,
            BUDGET_READS_PER_S,
            1,
            "as above"));
  }

  private void transfers(Fleet fleet, List<String> lines) {
    double rebuilt = documentBytes.at(fleet.vms()) * fleet.entryVmsPerDataCentre();
    lines.add(
        plain(
            "table",
            "MB read when a data centre comes back, each VM for itself",
            rebuilt * 1e-6,
            "`ConfigurationPoller`"));
    lines.add(
        plain(
            "table",
            "MB read when a data centre comes back, through 2 pollers",
            documentBytes.at(fleet.vms()) * POLLERS_PER_DATA_CENTRE * 1e-6,
            "bounded pollers"));
    lines.add(
        plain(
            "object store",
            "MB of a snapshot of one data centre's owners",
            mapBytes.at(fleet.slicesPerDataCentre()) * 1e-6,
            "not written by today's build"));
    lines.add(
        plain(
            "operator's client",
            "MB of a configuration that it reads and sends back",
            documentBytes.at(fleet.vms()) * 1e-6,
            "`ConfigurationStore`"));
  }

  private void upstream(Fleet fleet, List<String> lines) {
    double grants = renewalsPerS * grantBytes.at(Slopes.SLICES_PER_UPSTREAM);
    lines.add(
        row(
            "upstream",
            "grants that one upstream receives, KB/s",
            grants,
            BUDGET_BYTES_PER_S,
            1e-3,
            "`GrantRequest` repeats every slice"));
    lines.add(
        plain(
            "upstream",
            "requests a second of one upstream",
            Fleet.REQUESTS_PER_S / fleet.upstreams(),
            "`LoadAwarePolicy`"));
  }

  private static String row(
      String role, String cost, double value, double budget, double unit, String mechanism) {
    return String.format(
        "| %s | %s | %,.4g | %,.4g | %.2g | %s |",
        role, cost, value * unit, budget * unit, value / budget, mechanism);
  }

  private static String plain(String role, String cost, double value, String mechanism) {
    return String.format("| %s | %s | %,.4g | | | %s |", role, cost, value, mechanism);
  }
}
