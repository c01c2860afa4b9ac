package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.LeadershipTerms;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeMap;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.store.CopyAges;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.store.TableMirror;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamDirectory;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.EntryPeer;
import org.foxtailford.entry.request.RoutingView;
import org.foxtailford.schema.entry.LossRecord;
import org.jspecify.annotations.Nullable;

/**
 * Holds this entry VM's routing state: configuration, upstreams and owners of keys, from copies of
 * the store's tables. Confined to the event loop.
 *
 * <p>Rows are parsed one by one, so that an unreadable row affects no other. An older version never
 * replaces a configuration during an incarnation.
 */
public final class EntryRoutingState implements RoutingView {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Receives notifications of changes. */
  public interface Listener {

    /** Called before {@link #onUpstreamGone} if another incarnation of the upstream has started. */
    void onUpstreamRestarted(String id);

    /** Called after an upstream was removed or has restarted. */
    void onUpstreamGone(String id);

    /** Called when the registered owner of a key has rejected it. */
    void onWrongOwner();

    /** Called when another VM has a newer configuration than this one. */
    void onNewerConfiguration();

    /** Called when an upstream has said for the first time that it is leaving. */
    void onLeaving();

    /** Called after a change that may affect waiting requests. */
    void onChange();
  }

  /**
   * Time in which operators and upstreams write again what a restored store lacks, in milliseconds;
   * several heartbeats of an upstream.
   */
  static final long ERA_GRACE_MS = 5000;

  private final PlatformRows platform;
  private final MillisClock clock;
  private final String node;
  private final Map<String, TableMirror> mirrors = new HashMap<>();
  private final CopyAges ages;
  private final UpstreamDirectory upstreams = new UpstreamDirectory();
  private final Map<String, RangeMap> owners = new HashMap<>();
  private final LoadCounters counters = new LoadCounters();
  private final Set<String> evacuatedDataCentres = new HashSet<>();
  private Set<String> liveNodes = Set.of();
  private @Nullable Collection<String> entryVms;
  private @Nullable List<EntryPeer> peers;
  private @Nullable RoutingConfiguration configuration;
  private @Nullable Listener listener;
  private long unreadableRows;
  private final Map<String, Long> eraBeganMs = new HashMap<>();
  private final RangeMoves moves = new RangeMoves();
  private boolean upstreamsKnown;
  private Consumer<LossRecord> lossListener = loss -> {};

  /** Creates an empty state. */
  public EntryRoutingState(PlatformRows platform, ControlClocks clocks, String node) {
    this.platform = Assert.notNull(platform, "platform");
    this.clock = clocks.steady();
    this.ages = new CopyAges(clocks.pauseAware());
    this.node = Assert.hasLength(node, "node");
    for (String table :
        List.of(
            platform.operatorTable(),
            platform.upstreamTable(),
            SystemTables.RANGES,
            SystemTables.MEMBERS,
            SystemTables.LOSSES)) {
      mirrors.put(table, new TableMirror(table));
    }
  }

  /** Sets the listener, which replaces any earlier one. */
  public void setListener(Listener newListener) {
    listener = Assert.notNull(newListener, "newListener");
  }

  /**
   * Sets the receiver of the losses that are read from the store, which replaces any earlier one.
   */
  void setLossListener(Consumer<LossRecord> newListener) {
    lossListener = Assert.notNull(newListener, "newListener");
  }

  /** Returns the copies of all tables. */
  Collection<TableMirror> mirrors() {
    return mirrors.values();
  }

  /**
   * Returns the copy of a table.
   *
   * @throws NullPointerException if the table is not copied
   */
  TableMirror mirror(String table) {
    return Assert.notNull(mirrors.get(table), "mirror of " + table);
  }

  /** Returns the ages of the copies. */
  CopyAges ages() {
    return ages;
  }

  /** Returns the copy of a table, or null if the table is not copied. */
  @Nullable TableMirror mirrorOrNull(String table) {
    return mirrors.get(table);
  }

  /**
   * Applies pushed rows; the copy's version stays, since other rows may be missing. Rows of another
   * era are ignored, and fetched with the next report.
   */
  void applyPushedRows(String table, RowPage page) {
    TableMirror mirror = mirrors.get(table);
    if (mirror != null && mirror.version().era() == page.version().era()) {
      apply(table, new RowPage(page.rows(), mirror.version(), false));
    }
  }

  /** Applies rows of a table from the store; ignores tables that are not copied. */
  void apply(String table, RowPage page) {
    apply(table, page, page.version());
  }

  /**
   * Applies rows of a table, from the store or a peer; ignores tables that are not copied.
   *
   * @param eraBegin version of the snapshot with which the era of the rows' source began
   */
  void apply(String table, RowPage page, StoreVersion eraBegin) {
    TableMirror mirror = mirrors.get(table);
    if (mirror == null) {
      return;
    }
    long previousEra = mirror.version().era();
    List<Row> changed = mirror.apply(page, eraBegin);
    if (mirror.version().era() > previousEra) {
      eraBeganMs.put(table, clock.nowMs());
    }
    applyChanged(table, changed);
    if (table.equals(platform.upstreamTable()) && page.version().number() > 0) {
      upstreamsKnown = true;
    }
  }

  private void applyChanged(String table, List<Row> changed) {
    boolean affectsRequests = false;
    for (Row row : changed) {
      affectsRequests |= applyRow(table, row);
    }
    if (table.equals(SystemTables.MEMBERS)) {
      entryVms = null;
      peers = null;
    }
    if (affectsRequests && listener != null) {
      listener.onChange();
    }
  }

  /**
   * Drops rows of an earlier era that nobody wrote again within {@link #ERA_GRACE_MS} of the first
   * copy of the restored store.
   */
  void dropCarriedRows(long nowMs) {
    List<String> due = new ArrayList<>();
    eraBeganMs.forEach(
        (table, beganMs) -> {
          if (nowMs - beganMs >= ERA_GRACE_MS) {
            due.add(table);
          }
        });
    for (String table : due) {
      eraBeganMs.remove(table);
      applyChanged(table, mirror(table).dropCarried());
    }
  }

  /** Returns the latest era of the copies. */
  long era() {
    return mirrors.values().stream().mapToLong(mirror -> mirror.version().era()).max().orElse(0);
  }

  /**
   * Returns whether a process of an upstream is registered now.
   *
   * @param process the upstream's incarnation; followed by {@code #} and a number for a later
   *     process under the same registration
   */
  boolean isProcessRegistered(String process) {
    int suffix = process.lastIndexOf('#');
    String incarnation = suffix < 0 ? process : process.substring(0, suffix);
    String id = incarnation.substring(0, Math.max(0, incarnation.lastIndexOf('/')));
    boolean inStore = mirror(platform.upstreamTable()).find(id).isPresent();
    return inStore
        && upstreams
            .find(id)
            .map(UpstreamEntry::incarnation)
            .filter(incarnation::equals)
            .isPresent();
  }

  /** Returns the highest term in which a known owner was granted its keys; 0 if there is none. */
  long highestTerm() {
    long highestFence = owners.values().stream().mapToLong(RangeMap::highestFence).max().orElse(0);
    return LeadershipTerms.termOf(highestFence);
  }

  /** Records that an incarnation of an upstream said that it is leaving. */
  void markLeaving(String id, long bornMs, long nowMs) {
    if (upstreams.markLeaving(id, bornMs, nowMs)) {
      logger.atInfo().with(EventFields.UPSTREAM, id).log("upstream leaving");
      if (listener != null) {
        listener.onLeaving();
        listener.onChange();
      }
    }
  }

  private boolean applyRow(String table, Row row) {
    try {
      if (table.equals(platform.operatorTable())) {
        return applyOperatorRow(row);
      }
      if (table.equals(platform.upstreamTable())) {
        return applyUpstream(row);
      }
      if (table.equals(SystemTables.LOSSES)) {
        return applyLoss(row);
      }
      return table.equals(SystemTables.RANGES) && applyOwners(row);
    } catch (UnreadableRowException e) {
      unreadableRows++;
      logger
          .atWarning()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.TABLE, table)
          .with(EventFields.VERSION, row.version().number())
          .with(EventFields.REASON, row.key() + ": " + e.getMessage())
          .log("row cannot be read");
      if (table.equals(platform.upstreamTable())) {
        return removeUpstream(row.key(), "unreadable entry");
      }
      return false;
    }
  }

  private boolean applyOperatorRow(Row row) {
    if (platform.isConfiguration(row)) {
      return !row.deleted() && applyConfiguration(row);
    }
    Optional<String> dataCentre = platform.findEvacuatedDataCentre(row);
    if (dataCentre.isEmpty()) {
      return false;
    }
    boolean changed =
        row.deleted()
            ? evacuatedDataCentres.remove(dataCentre.get())
            : evacuatedDataCentres.add(dataCentre.get());
    upstreams.setEvacuated(evacuatedDataCentres);
    logger
        .atInfo()
        .with(EventFields.DATA_CENTRE, dataCentre.get())
        .with(EventFields.VERSION, row.version().number())
        .log(row.deleted() ? "data centre evacuation ended" : "data centre evacuated");
    return changed;
  }

  private boolean applyConfiguration(Row row) {
    long beganMs = clock.nowMs();
    RoutingConfiguration candidate = platform.readConfiguration(row);
    RoutingConfiguration current = configuration;
    if (current != null && candidate.version() <= current.version()) {
      return false;
    }
    configuration = candidate;
    logger
        .atInfo()
        .with(EventFields.VERSION, candidate.version())
        .with(EventFields.COUNT, (long) candidate.services().size())
        .with(EventFields.AGE_MS, configurationAgeMs())
        .with(EventFields.TOOK_MS, clock.nowMs() - beganMs)
        .log("configuration in force");
    return true;
  }

  private boolean applyUpstream(Row row) {
    if (row.deleted()) {
      return removeUpstream(row.key(), "entry removed");
    }
    UpstreamEntry entry = platform.readUpstream(row);
    Optional<UpstreamEntry> previous = upstreams.find(entry.id());
    if (mirror(platform.upstreamTable()).isRestored(row)) {
      if (!upstreams.putRestored(entry, clock.nowMs())) {
        return false;
      }
    } else {
      upstreams.put(entry, clock.nowMs());
    }
    boolean unchanged =
        previous.isPresent()
            && previous.get().isSameIncarnation(entry)
            && previous.get().draining() == entry.draining()
            && previous.get().address().equals(entry.address());
    if (!unchanged) {
      if (previous.isPresent() && !previous.get().isSameIncarnation(entry) && listener != null) {
        listener.onUpstreamRestarted(entry.id());
        listener.onUpstreamGone(entry.id());
      }
      logger
          .atInfo()
          .with(EventFields.UPSTREAM, entry.id())
          .with(EventFields.SERVICE, entry.service())
          .with(EventFields.DATA_CENTRE, entry.dataCentre())
          .with(EventFields.VERSION, row.version().number())
          .log(entry.draining() ? "upstream draining" : "upstream ready");
    }
    return !unchanged;
  }

  private boolean removeUpstream(String id, String reason) {
    boolean wasKnown = upstreams.find(id).isPresent();
    boolean gone = upstreams.remove(id, clock.nowMs());
    if (gone) {
      onGone(id, reason);
    } else if (wasKnown) {
      logger.atInfo().with(EventFields.UPSTREAM, id).log("upstream entry lapsed");
    }
    return gone;
  }

  private void onGone(String id, String reason) {
    logger
        .atInfo()
        .with(EventFields.UPSTREAM, id)
        .with(EventFields.REASON, reason)
        .log("upstream gone");
    if (listener != null) {
      listener.onUpstreamGone(id);
    }
  }

  /** Tells a loss; its removal tells nothing, since it expires at the same time everywhere. */
  private boolean applyLoss(Row row) {
    if (!row.deleted()) {
      lossListener.accept(RecordCodec.parseLoss(row));
    }
    return false;
  }

  private boolean applyOwners(Row row) {
    if (row.deleted()) {
      return false;
    }
    RangeMap map = RecordCodec.parseRanges(row);
    boolean outdated =
        mirror(SystemTables.RANGES).isRestored(row)
            && map.highestFence() < owners(row.key()).highestFence();
    if (outdated) {
      return false;
    }
    owners.put(row.key(), map);
    logger
        .atInfo()
        .with(EventFields.SERVICE, row.key())
        .with(EventFields.VERSION, row.version().number())
        .with(EventFields.COUNT, (long) map.assignments().size())
        .log("owners of keys changed");
    return true;
  }

  /**
   * Records whether this VM or a reachable peer can read the store, and removes upstreams whose
   * registrations lapsed and were not renewed.
   */
  void onStoreReachability(boolean reached, long nowMs) {
    if (reached) {
      upstreams.onStoreRegained(nowMs);
    } else {
      upstreams.onStoreLost();
    }
    List<String> lapsed = upstreams.removeLapsed(nowMs);
    lapsed.forEach(id -> onGone(id, "entry not renewed"));
    if (!lapsed.isEmpty() && listener != null) {
      listener.onChange();
    }
  }

  /** Replaces the names of the live entry VMs, among which budgets are divided. */
  void setLiveNodes(Collection<String> nodes) {
    Set<String> live = Set.copyOf(nodes);
    if (!live.equals(liveNodes)) {
      liveNodes = live;
      entryVms = null;
      peers = null;
    }
  }

  /** Returns what was counted for the leader since the last report. */
  LoadCounters counters() {
    return counters;
  }

  /** Returns whether configuration and upstreams are known, so that callers can be served. */
  public boolean isComplete() {
    return configuration != null && upstreamsKnown;
  }

  /** Returns the active limits for callers; the defaults before the first configuration. */
  public CallerLimits callerLimits() {
    RoutingConfiguration current = configuration;
    return current == null ? CallerLimits.DEFAULT : current.limits();
  }

  /** Returns the number of unreadable rows since the start of the process. */
  public long unreadableRows() {
    return unreadableRows;
  }

  @Override
  public Optional<RoutingConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  @Override
  public long configurationAgeMs() {
    return ages.ageMs(platform.operatorTable()).orElse(-1);
  }

  @Override
  public UpstreamDirectory upstreams() {
    return upstreams;
  }

  @Override
  public RangeMap owners(String service) {
    return owners.getOrDefault(service, RangeMap.EMPTY);
  }

  /** Records that the leader has begun to take ranges away from their owners. */
  void recordMoves(String service, List<RangeAssignment> ranges, long nowMs) {
    moves.record(service, ranges, nowMs);
  }

  @Override
  public boolean isBeingMoved(String service, int key, long fence) {
    return moves.contains(service, key, fence, clock.nowMs());
  }

  @Override
  public Collection<String> entryVms() {
    Collection<String> cached = entryVms;
    if (cached == null) {
      cached = collectEntryVms();
      entryVms = cached;
    }
    return cached;
  }

  private Collection<String> collectEntryVms() {
    Set<String> all = new HashSet<>(liveNodes);
    if (all.isEmpty()) {
      mirror(SystemTables.MEMBERS).all().stream()
          .filter(row -> !row.deleted())
          .forEach(row -> all.add(row.key()));
    }
    all.add(node);
    return Set.copyOf(all);
  }

  @Override
  public List<EntryPeer> peers() {
    List<EntryPeer> cached = peers;
    if (cached == null) {
      cached = collectPeers();
      peers = cached;
    }
    return cached;
  }

  private List<EntryPeer> collectPeers() {
    List<EntryPeer> others = new ArrayList<>();
    for (Row row : mirror(SystemTables.MEMBERS).all()) {
      if (!row.deleted() && !row.key().equals(node) && entryVms().contains(row.key())) {
        RecordCodec.toPeer(row).ifPresent(others::add);
      }
    }
    return List.copyOf(others);
  }

  @Override
  public void countKey(String service, int key, double relativeCost) {
    counters.countKey(service, key, relativeCost);
  }

  @Override
  public void countSlowness(UpstreamEntry upstream, double slowness) {
    if (isKeyed(upstream)) {
      counters.countSlowness(upstream, slowness);
    }
  }

  @Override
  public void countWork(UpstreamEntry upstream, double tookMs) {
    if (isKeyed(upstream)) {
      counters.countWork(upstream, tookMs);
    }
  }

  @Override
  public void countLimit(UpstreamEntry upstream, OptionalDouble perSecond) {
    if (isKeyed(upstream)) {
      counters.countLimit(upstream, perSecond);
    }
  }

  private boolean isKeyed(UpstreamEntry upstream) {
    return configuration != null
        && configuration.findService(upstream.service()).map(ServicePolicy::keyed).orElse(false);
  }

  @Override
  public void onLeaving(UpstreamEntry upstream) {
    markLeaving(upstream.id(), upstream.bornMs(), clock.nowMs());
  }

  @Override
  public void onConfigurationHeardOf(long version) {
    if (listener != null && configuration != null && version > configuration.version()) {
      logger
          .atInfo()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.VERSION, version)
          .with(EventFields.AGE_MS, configurationAgeMs())
          .log("newer configuration heard of");
      listener.onNewerConfiguration();
    }
  }

  @Override
  public void onWrongOwner(String service, int key) {
    logger
        .atInfo()
        .atMostEvery(100, TimeUnit.MILLISECONDS)
        .with(EventFields.SERVICE, service)
        .with(EventFields.KEY, (long) key)
        .with(EventFields.VERSION, owners(service).version())
        .log("owner rejected a key");
    if (listener != null) {
      listener.onWrongOwner();
    }
  }
}
