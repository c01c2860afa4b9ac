package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.LeaderFitness;
import org.foxtailford.core.range.LeaderVacancyDetector;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.range.RangeCommandClient;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.TableMirror;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.schema.entry.KeyLoad;
import org.foxtailford.schema.entry.MemberRecord;
import org.foxtailford.schema.entry.PeerReply;
import org.foxtailford.schema.entry.PeerReport;
import org.foxtailford.schema.entry.TableRows;
import org.foxtailford.schema.entry.TableVersion;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this VM's knowledge up to date: from the leader while that is fresh, else from the store,
 * else from any peer. One VM leads: it reads the store for all and grants keys. Used on the event
 * loop only.
 */
public final class EntryControl implements LeaderDuty.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String node;
  private final long life;
  private final String dataCentre;
  private final UpstreamAddress address;
  private final RowStore store;
  private final RangeCommandClient commandClient;
  private final EntryRoutingState knowledge;
  private final PeerClient peers;
  private final PeerBook book;
  private final RowPacker packer = new RowPacker();
  private final RangeTiming timing;
  private final MillisClock clock;
  private final MillisClock timeOfDay;
  private final ScheduledExecutorService loop;
  private final LeaderElection election;
  private final KeyLoads loads = new KeyLoads();
  private final List<TablePoller> pollers = new ArrayList<>();
  private final TablePoller ownersPoller;

  /** What the leader reads all the time; it writes the owners of keys itself. */
  private final List<TablePoller> leaderPollers;

  private final TablePoller membersPoller;
  private final String upstreamTable;
  private Optional<LeaderSeat> leader = Optional.empty();
  private @Nullable LeaderDuty duty;
  private boolean started;
  private boolean reporting;
  private boolean nobodyListens;
  private boolean asking;
  private boolean joining;
  private boolean joined;
  private boolean stopping;
  private boolean storeReached = true;
  private long nextReportMs;
  private long nextRefreshMs;
  private long nextAskMs;
  private long nextJoinMs;
  private long leaderHeardMs;
  private long freshMs = Long.MIN_VALUE / 2;
  private long ownStoreMs = Long.MIN_VALUE / 2;
  private long clockGapMs;

  /** Creates the control of an entry VM. */
  public EntryControl(
      EntryIdentity self,
      List<UpstreamAddress> seeds,
      RowStore store,
      PlatformRows platform,
      RangeCommandClient commandClient,
      EntryRoutingState knowledge,
      HttpClient peerCalls,
      RangeTiming timing,
      ControlClocks clocks,
      ScheduledExecutorService loop,
      Random random) {
    this.node = self.node();
    this.life = self.incarnation();
    this.dataCentre = self.dataCentre();
    this.address = self.address();
    this.clock = clocks.steady();
    this.timeOfDay = clocks.timeOfDay();
    this.store = Assert.notNull(store, "store");
    this.commandClient = Assert.notNull(commandClient, "commandClient");
    this.knowledge = Assert.notNull(knowledge, "knowledge");
    this.peers = new PeerClient(peerCalls);
    this.book = new PeerBook(node, knowledge.mirror(SystemTables.MEMBERS), seeds, random);
    this.timing = Assert.notNull(timing, "timing");
    this.loop = Assert.notNull(loop, "loop");
    this.upstreamTable = platform.upstreamTable();
    this.election =
        new LeaderElection(
            node,
            life,
            address,
            store,
            new LeaderVacancyDetector(
                random.nextInt(ControlTiming.CANDIDATE_DELAY_MS) + weaknessMs(self)),
            clock,
            loop,
            this::onSeatSeen,
            this::onSeatTaken);
    leaderPollers =
        List.of(
            addPoller(
                platform.upstreamTable(), ControlTiming.UPSTREAMS_MS, 0, this::onUpstreamsRead),
            addPoller(
                platform.operatorTable(), 0, ControlTiming.ORDERS_WAIT_MS, this::onStoreAnswer));
    ownersPoller = addPoller(SystemTables.RANGES, ControlTiming.SYSTEM_MS, 0, this::onStoreAnswer);
    membersPoller =
        addPoller(SystemTables.MEMBERS, 2 * ControlTiming.SYSTEM_MS, 0, this::onStoreAnswer);
  }

  /** Lets stronger machines take the seat first. */
  private static long weaknessMs(EntryIdentity self) {
    return LeaderFitness.delayMs(self.processorShare(), self.linkMbps());
  }

  private TablePoller addPoller(
      String table, long intervalMs, long waitMs, LongConsumer onSuccess) {
    TablePoller poller =
        new TablePoller(table, intervalMs, waitMs, store, knowledge, clock, loop, onSuccess);
    pollers.add(poller);
    return poller;
  }

  /** Begins. */
  public void start() {
    leaderHeardMs = clock.nowMs() - LeadershipTiming.SUSPICION_DELAY_MS;
    clockGapMs = timeOfDay.nowMs() - clock.nowMs();
    loop.scheduleWithFixedDelay(this::tick, 0, ControlTiming.TICK_MS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    try {
      round();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("round of control failed");
    }
  }

  private void round() {
    long nowMs = clock.nowMs();
    watchPause(nowMs);
    join(nowMs);
    boolean leads = duty != null;
    if (leads) {
      leaderPollers.forEach(TablePoller::poll);
      membersPoller.pollEvery(ControlTiming.LEADER_MEMBERS_MS);
    } else if (nowMs - freshMs > staleMs() || !started) {
      pollers.forEach(TablePoller::poll);
    }
    if (leads) {
      duty.tick();
      loads.add(knowledge.takeKeyCounts(), nowMs);
      loads.addWork(knowledge.takeWorkTimes(), nowMs);
      knowledge.setLiveNodes(book.alive(nowMs).keySet());
    } else {
      report(nowMs);
      boolean suspect =
          nowMs - leaderHeardMs > reportMs() + LeadershipTiming.SUSPICION_DELAY_MS || nobodyListens;
      if (suspect && !stopping) {
        election.look(nobodyListens);
      }
    }
    if (nowMs - ownStoreMs > staleMs() && nowMs - freshMs > staleMs() / 2) {
      askAnyPeer(nowMs);
    }
    noteStore(nowMs);
  }

  private long reportMs() {
    long shared = 1000L * knowledge.entryVms().size() / ControlTiming.REPORTS_PER_SECOND;
    return Math.max(ControlTiming.REPORT_MS, Math.min(ControlTiming.LONGEST_REPORT_MS, shared));
  }

  private long staleMs() {
    return reportMs() + ControlTiming.STALE_MS;
  }

  /** A process that stood still does not trust its seat: another may have taken it meanwhile. */
  private void watchPause(long nowMs) {
    long gapMs = timeOfDay.nowMs() - nowMs;
    if (gapMs - clockGapMs > ControlTiming.PAUSE_MS) {
      logger.atWarning().with(EventFields.TOOK_MS, gapMs - clockGapMs).log("process stood still");
      leaderHeardMs = nowMs;
      if (duty != null) {
        duty.onPause();
      }
    }
    clockGapMs = gapMs;
  }

  private void noteStore(long nowMs) {
    boolean reached = nowMs - Math.max(freshMs, ownStoreMs) < ControlTiming.STORE_LOST_MS;
    if (reached != storeReached) {
      storeReached = reached;
      logger
          .atWarning()
          .with(EventFields.AGE_MS, nowMs - Math.max(freshMs, ownStoreMs))
          .log(reached ? "store regained" : "store lost for everybody in touch");
    }
    if (started) {
      knowledge.onStore(reached, nowMs);
    }
  }

  private void join(long nowMs) {
    if (joined || joining || nowMs < nextJoinMs) {
      return;
    }
    joining = true;
    byte[] value =
        MemberRecord.newBuilder()
            .setNode(node)
            .setLife(life)
            .setHost(address.host())
            .setPort(address.port())
            .setDataCentre(dataCentre)
            .build()
            .toByteArray();
    store
        .write(List.of(RowWrite.put(SystemTables.MEMBERS, node, -1, value)), TablePoller.CALL_MS)
        .whenCompleteAsync(
            (version, failure) -> {
              joining = false;
              joined = failure == null;
              nextJoinMs = clock.nowMs() + ControlTiming.SYSTEM_MS;
            },
            loop);
  }

  private void onUpstreamsRead(long atMs) {
    started = true;
    freshMs = Math.max(freshMs, atMs);
    onStoreAnswer(atMs);
  }

  private void onStoreAnswer(long atMs) {
    ownStoreMs = Math.max(ownStoreMs, atMs);
  }

  private void report(long nowMs) {
    if (leader.isEmpty() || reporting || nowMs < nextReportMs || isSelf(leader.get())) {
      return;
    }
    reporting = true;
    LeaderSeat seat = leader.get();
    PeerReport.Builder report = newReport().addAllWorkTimes(knowledge.takeWorkTimes());
    knowledge
        .takeKeyCounts()
        .forEach(
            (service, keys) ->
                keys.forEach(
                    (key, count) ->
                        report.addKeyLoads(
                            KeyLoad.newBuilder()
                                .setService(service)
                                .setKey(key)
                                .setRequests(count))));
    peers
        .send(seat.address(), report.build(), ControlTiming.PEER_CALL_MS)
        .whenCompleteAsync((reply, failure) -> onLeaderReply(seat, reply, failure, nowMs), loop);
  }

  private boolean isSelf(LeaderSeat seat) {
    return seat.node().equals(node) && seat.life() == life;
  }

  private PeerReport.Builder newReport() {
    PeerReport.Builder report =
        PeerReport.newBuilder()
            .setNode(node)
            .setLife(life)
            .setHost(address.host())
            .setPort(address.port());
    leader.ifPresent(seat -> report.setLeaderTerm(seat.term()));
    for (TableMirror mirror : knowledge.mirrors()) {
      report.addWanted(
          TableVersion.newBuilder().setTable(mirror.table()).setVersion(mirror.version()));
    }
    return report;
  }

  private void onLeaderReply(LeaderSeat seat, PeerReply reply, Throwable failure, long sentMs) {
    reporting = false;
    long nowMs = clock.nowMs();
    if (failure != null) {
      nextReportMs = nowMs + reportMs() / 2;
      boolean refused = isRefused(failure);
      if (refused && !nobodyListens
          || leaderHeardMs + LeadershipTiming.SUSPICION_DELAY_MS > nowMs) {
        logger
            .atInfo()
            .atMostEvery(1, TimeUnit.SECONDS)
            .with(EventFields.NODE, seat.node())
            .with(EventFields.FENCE, seat.term())
            .with(EventFields.REASON, String.valueOf(failure))
            .log("leader did not answer");
      }
      nobodyListens = refused;
      return;
    }
    nextReportMs = sentMs + reportMs();
    nobodyListens = false;
    boolean isLeader = reply.getLeads() && reply.getLife() == seat.life();
    if (isLeader) {
      leaderHeardMs = nowMs;
      election.reset();
      knowledge.setLiveNodes(reply.getLiveNodesList());
    }
    takeReply(reply, sentMs, nowMs);
  }

  private static boolean isRefused(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return String.valueOf(cause.getMessage()).contains("refused");
      }
    }
    return false;
  }

  private void takeReply(PeerReply reply, long sentMs, long nowMs) {
    for (TableRows rows : reply.getTablesList()) {
      knowledge.apply(rows.getTable(), RecordCodec.toPage(rows));
    }
    long heardMs = sentMs - reply.getStoreAgeMs();
    if (reply.getStoreReached()) {
      started = started || knowledge.isComplete();
      freshMs = Math.max(freshMs, Math.min(heardMs, nowMs));
    }
  }

  private void askAnyPeer(long nowMs) {
    if (asking || nowMs < nextAskMs) {
      return;
    }
    Optional<UpstreamAddress> peer = book.any(address);
    if (peer.isEmpty()) {
      return;
    }
    asking = true;
    nextAskMs = nowMs + ControlTiming.ASK_MS;
    peers
        .send(peer.get(), newReport().build(), ControlTiming.PEER_CALL_MS)
        .whenCompleteAsync(
            (reply, failure) -> {
              asking = false;
              if (failure == null) {
                takeReply(reply, nowMs, clock.nowMs());
              } else {
                logger
                    .atInfo()
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .with(EventFields.NODE, peer.get().toString())
                    .with(EventFields.REASON, String.valueOf(failure))
                    .log("peer did not answer");
              }
            },
            loop);
  }

  private void onSeatSeen(LeaderSeat seen) {
    Optional<LeaderSeat> before = leader;
    leader = LeaderSeat.newer(leader, seen);
    if (leader != before && (before.isEmpty() || before.get().term() != seen.term())) {
      nobodyListens = false;
      nextReportMs = clock.nowMs();
      leaderHeardMs = clock.nowMs();
      logger
          .atInfo()
          .with(EventFields.NODE, seen.node())
          .with(EventFields.FENCE, seen.term())
          .with(EventFields.VERSION, seen.rowVersion())
          .log("leader changed");
      if (duty != null && !isSelf(seen)) {
        duty.end("another leads with a higher term");
      }
    }
  }

  private void onSeatTaken(LeaderElection.Taken taken) {
    long nowMs = clock.nowMs();
    long othersRenewMs = taken.holderGone() ? 0 : LeadershipTiming.GRANT_RENEWAL_WINDOW_MS;
    long holdUntilMs = timing.latestExpiryMs(nowMs + timing.callTimeoutMs()) + othersRenewMs;
    logger
        .atInfo()
        .with(EventFields.NODE, node)
        .with(EventFields.FENCE, taken.seat().term())
        .with(EventFields.REASON, taken.holderGone() ? "nobody holds it" : "not renewed in time")
        .log("leader's seat taken");
    leader = Optional.of(taken.seat());
    nobodyListens = false;
    readBeforeDuty(taken.seat(), holdUntilMs);
  }

  /** Begins the duty with the owners as the store has them after the seat was taken. */
  private void readBeforeDuty(LeaderSeat seat, long holdUntilMs) {
    store
        .readAll(SystemTables.RANGES, TablePoller.CALL_MS)
        .thenCombine(
            store.readAll(upstreamTable, TablePoller.CALL_MS),
            (ranges, upstreams) -> List.of(ranges, upstreams))
        .whenCompleteAsync(
            (pages, failure) -> {
              boolean stillMine = leader.isPresent() && leader.get().equals(seat);
              if (!stillMine) {
                return;
              }
              if (failure != null) {
                loop.schedule(
                    () -> readBeforeDuty(seat, holdUntilMs),
                    LeadershipTiming.RETRY_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
                return;
              }
              knowledge.apply(SystemTables.RANGES, pages.get(0));
              knowledge.apply(upstreamTable, pages.get(1));
              beginDuty(seat, holdUntilMs);
            },
            loop);
  }

  private void beginDuty(LeaderSeat seat, long holdUntilMs) {
    started = true;
    duty =
        new LeaderDuty(
            seat, store, commandClient, knowledge, loads, timing, this, clock, loop, holdUntilMs);
    tell(List.of());
  }

  @Override
  public void onOwners(String service, RowPage page) {
    knowledge.apply(SystemTables.RANGES, page);
    tell(
        List.of(
            RecordCodec.toMessage(
                SystemTables.RANGES,
                knowledge.mirror(SystemTables.RANGES).version(),
                page.rows(),
                packer)));
  }

  /** Tells all entry VMs at once, with new rows. */
  private void tell(List<TableRows> rows) {
    LeaderSeat seat = Assert.notNull(duty, "duty").seat();
    PeerReport report =
        PeerReport.newBuilder()
            .setNode(node)
            .setLife(life)
            .setHost(address.host())
            .setPort(address.port())
            .setLeaderTerm(seat.term())
            .setLeads(true)
            .addAllPushed(rows)
            .build();
    for (UpstreamAddress peer : tellTargets()) {
      peers
          .send(peer, report, ControlTiming.PEER_CALL_MS)
          .whenCompleteAsync(
              (reply, failure) -> {
                if (failure != null) {
                  logger
                      .atInfo()
                      .atMostEvery(1, TimeUnit.SECONDS)
                      .with(EventFields.NODE, peer.toString())
                      .with(EventFields.REASON, String.valueOf(failure))
                      .log("peer not told");
                }
              },
              loop);
    }
  }

  private Collection<UpstreamAddress> tellTargets() {
    Map<String, UpstreamAddress> alive = book.alive(clock.nowMs());
    return alive.isEmpty() ? book.all(address) : alive.values();
  }

  @Override
  public void onSeatLost(String reason) {
    logger
        .atWarning()
        .with(EventFields.NODE, node)
        .with(EventFields.REASON, reason)
        .log("leader's seat lost");
    duty = null;
    leader = Optional.empty();
    leaderHeardMs = clock.nowMs() - LeadershipTiming.SUSPICION_DELAY_MS;
  }

  /** Answers another entry VM. */
  public PeerReply onReport(PeerReport report) {
    long nowMs = clock.nowMs();
    book.heard(report.getNode(), new UpstreamAddress(report.getHost(), report.getPort()), nowMs);
    if (report.getLeads()) {
      onSeatSeen(
          new LeaderSeat(
              report.getNode(),
              report.getLife(),
              report.getLeaderTerm(),
              new UpstreamAddress(report.getHost(), report.getPort()),
              0));
    }
    for (TableRows rows : report.getPushedList()) {
      knowledge.applyRows(rows.getTable(), RecordCodec.toPage(rows));
    }
    loads.add(report.getKeyLoadsList(), nowMs);
    loads.addWork(report.getWorkTimesList(), nowMs);
    return reply(report, nowMs);
  }

  private PeerReply reply(PeerReport report, long nowMs) {
    PeerReply.Builder reply =
        PeerReply.newBuilder()
            .setNode(node)
            .setLife(life)
            .setStoreReached(nowMs - freshMs < 2 * ControlTiming.STORE_LOST_MS)
            .setStoreAgeMs(Math.max(0, nowMs - freshMs))
            .setLeads(duty != null && duty.confirmedAgeMs() < LeadershipTiming.ADVERTISE_WINDOW_MS);
    leader.ifPresent(seat -> reply.setLeaderTerm(seat.term()));
    if (duty != null) {
      reply.addAllLiveNodes(book.alive(nowMs).keySet()).addLiveNodes(node);
    }
    for (TableVersion wanted : report.getWantedList()) {
      TableMirror mirror = knowledge.mirrorOrNull(wanted.getTable());
      if (mirror != null && mirror.version() > wanted.getVersion()) {
        reply.addTables(
            RecordCodec.toMessage(
                mirror.table(),
                mirror.version(),
                mirror.changedAfter(wanted.getVersion()),
                packer));
      }
    }
    return reply.build();
  }

  /** Asks for the owners of keys at once, since those that are known proved wrong. */
  public void refreshOwners() {
    long nowMs = clock.nowMs();
    if (duty == null && nowMs >= nextRefreshMs) {
      nextRefreshMs = nowMs + ControlTiming.REFRESH_MS;
      nextReportMs = Math.min(nextReportMs, nowMs);
      if (nowMs - leaderHeardMs > reportMs() + ControlTiming.PEER_CALL_MS) {
        ownersPoller.poll();
      }
    }
  }

  /** Replaces the addresses of entry VMs to begin with. */
  public void replaceSeeds(List<UpstreamAddress> seeds) {
    book.replaceSeeds(seeds);
  }

  /** Takes no seat any more, and leaves the one it has, since the process is about to end. */
  public void stop() {
    stopping = true;
  }

  /** Returns whether this VM leads. */
  public boolean isLeading() {
    return duty != null;
  }
}
