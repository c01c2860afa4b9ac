package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.RangeMap;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.TableMirror;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamDirectory;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.RoutingView;
import org.foxtailford.schema.entry.WorkTime;
import org.jspecify.annotations.Nullable;

/**
 * What this entry VM knows, from copies of the store's tables. Used on the event loop only.
 *
 * <p>Each row is read on its own: one that can't be read changes nothing else. A configuration
 * never goes back to an older version within a life.
 */
public final class EntryRoutingState implements RoutingView {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Told of changes. */
  public interface Listener {

    /** An upstream is gone, or has started again. */
    void onUpstreamGone(String id);

    /** The known owner of a key proved wrong. */
    void onWrongOwner();

    /** Something changed that waiting requests may depend on. */
    void onChange();
  }

  private final PlatformRows platform;
  private final MillisClock clock;
  private final String node;
  private final Map<String, TableMirror> mirrors = new HashMap<>();
  private final UpstreamDirectory upstreams = new UpstreamDirectory();
  private final Map<String, RangeMap> owners = new HashMap<>();
  private final Map<String, Map<Integer, Integer>> keyCounts = new HashMap<>();
  private final Map<String, WorkTime.Builder> workTimes = new HashMap<>();
  private final Set<String> evacuated = new HashSet<>();
  private Set<String> liveNodes = Set.of();
  private @Nullable Collection<String> entryVms;
  private @Nullable RoutingConfiguration configuration;
  private @Nullable Listener listener;
  private long unreadableRows;
  private boolean upstreamsKnown;

  /** Creates knowledge of nothing. */
  public EntryRoutingState(PlatformRows platform, MillisClock clock, String node) {
    this.platform = Assert.notNull(platform, "platform");
    this.clock = Assert.notNull(clock, "clock");
    this.node = Assert.hasLength(node, "node");
    for (String table :
        List.of(
            platform.operatorTable(),
            platform.upstreamTable(),
            SystemTables.RANGES,
            SystemTables.MEMBERS)) {
      mirrors.put(table, new TableMirror(table));
    }
  }

  /** Sets who is told of changes. */
  public void setListener(Listener newListener) {
    listener = Assert.notNull(newListener, "newListener");
  }

  /** Returns the tables that are copied. */
  Collection<TableMirror> mirrors() {
    return mirrors.values();
  }

  /** Returns the copy of a table. */
  TableMirror mirror(String table) {
    return Assert.notNull(mirrors.get(table), "mirror of " + table);
  }

  /** Returns the copy of a table; null if it is not copied. */
  @Nullable TableMirror mirrorOrNull(String table) {
    return mirrors.get(table);
  }

  /** Takes single rows, which do not make the copy complete. */
  void applyRows(String table, RowPage page) {
    TableMirror mirror = mirrors.get(table);
    if (mirror != null) {
      apply(table, new RowPage(page.rows(), mirror.version(), false));
    }
  }

  /** Takes rows of a table, from the store or a peer. */
  void apply(String table, RowPage page) {
    TableMirror mirror = mirrors.get(table);
    if (mirror == null) {
      return;
    }
    List<Row> changed = mirror.apply(page);
    boolean matters = false;
    for (Row row : changed) {
      matters |= take(table, row);
    }
    if (table.equals(SystemTables.MEMBERS)) {
      entryVms = null;
    }
    if (table.equals(platform.upstreamTable()) && page.version() > 0) {
      upstreamsKnown = true;
    }
    if (matters && listener != null) {
      listener.onChange();
    }
  }

  private boolean take(String table, Row row) {
    try {
      if (table.equals(platform.operatorTable())) {
        return takeOrder(row);
      }
      if (table.equals(platform.upstreamTable())) {
        return takeUpstream(row);
      }
      return table.equals(SystemTables.RANGES) && takeOwners(row);
    } catch (UnreadableRowException e) {
      unreadableRows++;
      logger
          .atWarning()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.TABLE, table)
          .with(EventFields.VERSION, row.version())
          .with(EventFields.REASON, row.key() + ": " + e.getMessage())
          .log("row can't be read");
      if (table.equals(platform.upstreamTable())) {
        return removeUpstream(row.key(), "unreadable entry");
      }
      return false;
    }
  }

  private boolean takeOrder(Row row) {
    if (platform.isConfiguration(row)) {
      return !row.deleted() && takeConfiguration(row);
    }
    Optional<String> dataCentre = platform.findEvacuatedDataCentre(row);
    if (dataCentre.isEmpty()) {
      return false;
    }
    boolean changed =
        row.deleted() ? evacuated.remove(dataCentre.get()) : evacuated.add(dataCentre.get());
    upstreams.setEvacuated(evacuated);
    logger
        .atInfo()
        .with(EventFields.DATA_CENTRE, dataCentre.get())
        .with(EventFields.VERSION, row.version())
        .log(row.deleted() ? "data centre taken back" : "data centre evacuated");
    return changed;
  }

  private boolean takeConfiguration(Row row) {
    RoutingConfiguration read = platform.readConfiguration(row);
    RoutingConfiguration present = configuration;
    if (present != null && read.version() <= present.version()) {
      return false;
    }
    configuration = read;
    logger
        .atInfo()
        .with(EventFields.VERSION, read.version())
        .with(EventFields.COUNT, (long) read.services().size())
        .log("configuration in force");
    return true;
  }

  private boolean takeUpstream(Row row) {
    if (row.deleted()) {
      return removeUpstream(row.key(), "entry removed");
    }
    UpstreamEntry entry = platform.readUpstream(row);
    Optional<UpstreamEntry> before = upstreams.find(entry.id());
    upstreams.put(entry, clock.nowMs());
    boolean same =
        before.isPresent()
            && before.get().isSameIncarnation(entry)
            && before.get().draining() == entry.draining()
            && before.get().address().equals(entry.address());
    if (!same) {
      if (before.isPresent() && !before.get().isSameIncarnation(entry) && listener != null) {
        listener.onUpstreamGone(entry.id());
      }
      logger
          .atInfo()
          .with(EventFields.UPSTREAM, entry.id())
          .with(EventFields.SERVICE, entry.service())
          .with(EventFields.DATA_CENTRE, entry.dataCentre())
          .with(EventFields.VERSION, row.version())
          .log(entry.draining() ? "upstream draining" : "upstream ready");
    }
    return !same;
  }

  private boolean removeUpstream(String id, String reason) {
    boolean known = upstreams.find(id).isPresent();
    boolean gone = upstreams.remove(id, clock.nowMs());
    if (gone) {
      onGone(id, reason);
    } else if (known) {
      logger.atInfo().with(EventFields.UPSTREAM, id).log("upstream's entry lapsed");
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

  private boolean takeOwners(Row row) {
    if (row.deleted()) {
      return false;
    }
    RangeMap map = RecordCodec.ranges(row);
    owners.put(row.key(), map);
    logger
        .atInfo()
        .with(EventFields.SERVICE, row.key())
        .with(EventFields.VERSION, row.version())
        .with(EventFields.COUNT, (long) map.assignments().size())
        .log("owners of keys changed");
    return true;
  }

  /** Notes whether anybody in touch reaches the store, and drops what did not come back. */
  void onStore(boolean reached, long nowMs) {
    if (reached) {
      upstreams.onStoreRegained(nowMs);
    } else {
      upstreams.onStoreLost();
    }
    List<String> dropped = upstreams.removeLapsed(nowMs);
    dropped.forEach(id -> onGone(id, "entry did not come back"));
    if (!dropped.isEmpty() && listener != null) {
      listener.onChange();
    }
  }

  /** Replaces the entry VMs that share budgets. */
  void setLiveNodes(Collection<String> nodes) {
    Set<String> live = Set.copyOf(nodes);
    if (!live.equals(liveNodes)) {
      liveNodes = live;
      entryVms = null;
    }
  }

  /** Returns the counted requests for keys, and begins anew. */
  Map<String, Map<Integer, Integer>> takeKeyCounts() {
    Map<String, Map<Integer, Integer>> taken = new HashMap<>(keyCounts);
    keyCounts.clear();
    return taken;
  }

  /** Returns the counted answers of upstreams, and begins anew. */
  List<WorkTime> takeWorkTimes() {
    List<WorkTime> taken = new ArrayList<>();
    workTimes.values().forEach(time -> taken.add(time.build()));
    workTimes.clear();
    return taken;
  }

  /** Returns whether callers can be served. */
  public boolean isComplete() {
    return configuration != null && upstreamsKnown;
  }

  /** Returns the limits for callers that are in force. */
  public CallerLimits callerLimits() {
    RoutingConfiguration present = configuration;
    return present == null ? CallerLimits.DEFAULT : present.limits();
  }

  /** Returns how many rows could not be read. */
  public long unreadableRows() {
    return unreadableRows;
  }

  @Override
  public Optional<RoutingConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  @Override
  public UpstreamDirectory upstreams() {
    return upstreams;
  }

  @Override
  public RangeMap owners(String service) {
    return owners.getOrDefault(service, RangeMap.EMPTY);
  }

  @Override
  public Collection<String> entryVms() {
    Collection<String> known = entryVms;
    if (known == null) {
      known = findEntryVms();
      entryVms = known;
    }
    return known;
  }

  private Collection<String> findEntryVms() {
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
  public void countKey(String service, int key) {
    keyCounts.computeIfAbsent(service, name -> new HashMap<>()).merge(key, 1, Integer::sum);
  }

  @Override
  public void countWork(UpstreamEntry upstream, double tookMs) {
    boolean keyed =
        configuration != null
            && configuration
                .findService(upstream.service())
                .map(ServicePolicy::keyed)
                .orElse(false);
    if (keyed) {
      WorkTime.Builder time =
          workTimes.computeIfAbsent(
              upstream.id(),
              id -> WorkTime.newBuilder().setUpstream(id).setService(upstream.service()));
      time.setAnswers(time.getAnswers() + 1).setTotalMs(time.getTotalMs() + Math.round(tookMs));
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
        .log("owner refused a key");
    if (listener != null) {
      listener.onWrongOwner();
    }
  }
}
