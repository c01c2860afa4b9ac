package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.range.LeaderFitness;
import org.foxtailford.core.range.LeaderVacancyDetector;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.store.CopyAges;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.PauseAwareClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.schema.PoisonReport;
import org.foxtailford.schema.entry.PeerReply;
import org.foxtailford.schema.entry.PeerReport;
import org.foxtailford.schema.entry.TableRows;
import org.foxtailford.schema.entry.UpstreamLoss;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this VM's routing state up to date: from the leader while its data is fresh, else from the
 * store, else from any peer. The leader reads the store for all VMs and grants keys. Confined to
 * the event loop.
 */
public final class EntryControl implements LeaderTasks.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String node;
  private final long incarnation;
  private final UpstreamAddress address;
  private final RowStore store;
  private final UpstreamLinks links;
  private final EntryRoutingState state;
  private final PeerClient peers;
  private final PeerRegistry registry;
  private final PeerBroadcaster broadcaster;
  private final PeerMessages messages;
  private final LossExchange losses;
  private final ShareReports shares;
  private final LossKeeper lossKeeper;
  private final MemberRegistration registration;
  private final RangeTiming timing;
  private final ControlClocks clocks;
  private final MillisClock clock;
  private final PauseAwareClock pauseAwareClock;
  private final CopyAges ages;
  private final ScheduledExecutorService loop;
  private final LeaderElection election;
  private final KeyLoads loads = new KeyLoads();
  private final TableReaders readers;
  private final PeerQueries queries;
  private final String upstreamTable;
  private Optional<KnownLeader> leader = Optional.empty();
  private @Nullable LeaderTasks tasks;
  private boolean started;
  private boolean reportInFlight;
  private boolean connectionRefused;
  private boolean stopping;
  private boolean storeReached = true;
  private long nextReportMs;
  private long nextRefreshMs;
  private long leaderContactMs;
  private long knownPauseMs;
  private long knownEra;

  /** Creates the control of an entry VM, without starting it. */
  public EntryControl(
      EntryIdentity self,
      List<UpstreamAddress> seeds,
      RowStore store,
      PlatformRows platform,
      UpstreamLinks links,
      EntryRoutingState state,
      ReportContents contents,
      HttpClient peerCalls,
      RangeTiming timing,
      ControlClocks clocks,
      ScheduledExecutorService loop,
      Random random) {
    this.node = self.node();
    this.incarnation = self.incarnation();
    this.address = self.address();
    this.clocks = Assert.notNull(clocks, "clocks");
    this.clock = clocks.steady();
    this.pauseAwareClock = clocks.pauseAware();
    this.store = Assert.notNull(store, "store");
    this.links = Assert.notNull(links, "links");
    this.state = Assert.notNull(state, "state");
    this.ages = state.ages();
    this.peers = new PeerClient(peerCalls);
    this.losses = contents.losses();
    this.shares = contents.shares();
    this.lossKeeper =
        new LossKeeper(
            losses,
            new LossTable(store, PoisonLimits.BY_INCARNATION, clocks, loop),
            state,
            this::pushLosses,
            clock);
    this.registration = new MemberRegistration(self, store, clock, loop);
    this.messages = new PeerMessages(self, state, contents, links, clock);
    this.registry = new PeerRegistry(node, state.mirror(SystemTables.MEMBERS), seeds, random);
    this.timing = Assert.notNull(timing, "timing");
    this.loop = Assert.notNull(loop, "loop");
    this.broadcaster = new PeerBroadcaster(peers, registry, address, clock, loop);
    this.upstreamTable = platform.upstreamTable();
    this.election =
        new LeaderElection(
            node,
            incarnation,
            address,
            store,
            new LeaderVacancyDetector(
                random.nextInt(ControlTiming.CANDIDATE_JITTER_MS) + candidacyDelayMs(self)),
            clock,
            loop,
            () -> Math.max(leader.map(KnownLeader::term).orElse(0L), state.highestTerm()),
            self.firstStart(),
            this::onLeaderObserved,
            this::onLeadershipAcquired);
    this.queries =
        new PeerQueries(peers, registry, messages, losses, address, ages, loop, this::onPeerReply);
    readers = new TableReaders(platform, store, state, clock, loop, () -> started = true);
  }

  /** Returns a delay that lets VMs with more capacity acquire leadership first. */
  private static long candidacyDelayMs(EntryIdentity self) {
    return LeaderFitness.delayMs(self.processorShare(), self.linkMbps());
  }

  /** Starts the periodic control steps on the event loop. */
  public void start() {
    leaderContactMs = clock.nowMs() - LeadershipTiming.SUSPICION_DELAY_MS;
    loop.scheduleWithFixedDelay(this::tick, 0, ControlTiming.TICK_MS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    try {
      runStep();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("control step failed");
    }
  }

  private void runStep() {
    long nowMs = clock.nowMs();
    checkForPause(nowMs);
    checkForRestoredStore(nowMs);
    registration.writeAsNeeded();
    resignIfCutOff(nowMs);
    boolean leads = tasks != null;
    lossKeeper.tick(leads, !ages.isOlderThan(upstreamTable, ControlTiming.STORE_LOST_MS));
    if (leads) {
      readers.readAsLeader();
    } else {
      readers.readOutdated(reportIntervalMs());
    }
    if (leads) {
      tasks.tick();
      reportSharesToSelf();
      loads.add(state.counters().drainKeyCounts(), nowMs);
      loads.addWorkTimes(state.counters().drainWorkTimes(), nowMs);
      state.setLiveNodes(registry.livePeers(nowMs).keySet());
    } else {
      report(nowMs);
      boolean suspect =
          nowMs - leaderContactMs > reportIntervalMs() + LeadershipTiming.SUSPICION_DELAY_MS
              || connectionRefused;
      if (suspect && !stopping) {
        boolean nobodyElse = nowMs - leaderContactMs > ControlTiming.CUT_OFF_CANDIDACY_MS;
        election.poll(connectionRefused, nobodyElse || !links.isCutOff());
      }
    }
    if (needsPeers()) {
      queries.query(leader, nowMs);
    }
    updateStoreState(nowMs);
  }

  private void reportSharesToSelf() {
    if (tasks != null) { // a step of the leader's tasks may have ended its leadership
      shares.reportToSelf(tasks.leader().term(), tasks.confirmedAgeMs());
    }
  }

  /** Leaves the leadership to a VM that reaches the upstreams, to which the leader grants keys. */
  private void resignIfCutOff(long nowMs) {
    LeaderTasks current = tasks;
    if (current != null && links.isCutOff() && registry.hasPeerInReachOfUpstreams(nowMs)) {
      current.resign("cut off from upstreams");
      broadcaster.send(messages.resignation(current.leader()));
    }
  }

  private void onResigned(long term) {
    if (leader.map(KnownLeader::term).filter(known -> known == term).isPresent()) {
      leaderContactMs =
          Math.min(
              leaderContactMs,
              clock.nowMs() - reportIntervalMs() - LeadershipTiming.SUSPICION_DELAY_MS - 1);
    }
  }

  private long reportIntervalMs() {
    long scaledMs = 1000L * state.entryVms().size() / ControlTiming.TARGET_REPORTS_PER_SECOND;
    return Math.max(ControlTiming.MIN_REPORT_MS, Math.min(ControlTiming.MAX_REPORT_MS, scaledMs));
  }

  /** Returns whether neither the leader nor the store tells this VM in time what has changed. */
  private boolean needsPeers() {
    long staleAfterMs = reportIntervalMs() + ControlTiming.STALENESS_MARGIN_MS;
    boolean upstreamsStale =
        readers.lastSuccessAgeMs().orElse(Long.MAX_VALUE) > staleAfterMs
            && ages.isOlderThan(upstreamTable, staleAfterMs / 2);
    return upstreamsStale || readers.areOperatorsOutdated(reportIntervalMs());
  }

  /** Makes a leader confirm its leadership after a pause, since another VM may have acquired it. */
  private void checkForPause(long nowMs) {
    long totalPauseMs = pauseAwareClock.totalPauseMs();
    if (totalPauseMs > knownPauseMs) {
      logger
          .atWarning()
          .with(EventFields.TOOK_MS, totalPauseMs - knownPauseMs)
          .log("process paused");
      knownPauseMs = totalPauseMs;
      leaderContactMs = nowMs;
      if (tasks != null) {
        tasks.onPause();
      }
    }
  }

  /**
   * Registers this VM again after the store was restored from an older copy, which may lack its
   * row, and drops what nobody has written again in time.
   */
  private void checkForRestoredStore(long nowMs) {
    long era = Math.max(store.era(), state.era());
    if (era > knownEra) {
      if (started) { // the first era that a new process hears of is no news
        logger.atWarning().with(EventFields.ERA, era).log("store was restored from an older copy");
      }
      knownEra = era;
      registration.repeat();
    }
    state.dropCarriedRows(nowMs);
  }

  private void updateStoreState(long nowMs) {
    OptionalLong ageMs = contactAgeMs();
    boolean reached = ageMs.isPresent() && ageMs.getAsLong() < ControlTiming.STORE_LOST_MS;
    if (reached != storeReached) {
      storeReached = reached;
      logger
          .atWarning()
          .with(EventFields.AGE_MS, ageMs.orElse(-1))
          .log(reached ? "store reachable again" : "store unreachable, directly and through peers");
    }
    if (started) {
      state.onStoreReachability(reached, nowMs);
    }
  }

  private long upstreamsAgeMs() {
    return ages.ageMs(upstreamTable).orElse(Long.MAX_VALUE);
  }

  /** Returns the time since the store was known to be reached, by this VM or a peer. */
  private OptionalLong contactAgeMs() {
    return LongStream.concat(
            ages.ageMs(upstreamTable).stream(), readers.lastSuccessAgeMs().stream())
        .min();
  }

  private void report(long nowMs) {
    if (leader.isEmpty() || reportInFlight || nowMs < nextReportMs || isSelf(leader.get())) {
      return;
    }
    reportInFlight = true;
    long asOfMs = ages.nowMs();
    KnownLeader known = leader.get();
    PeerReport report = messages.loadReport(leader);
    long lossesNumber = losses.lastNumber();
    peers
        .send(known.address(), report, ControlTiming.PEER_TIMEOUT_MS)
        .whenCompleteAsync(
            (reply, failure) -> {
              onLeaderReply(known, reply, failure, nowMs, asOfMs);
              if (failure == null) {
                losses.onReply(reply, lossesNumber);
                shares.onReply(reply);
              }
            },
            loop);
  }

  private boolean isSelf(KnownLeader known) {
    return known.node().equals(node) && known.incarnation() == incarnation;
  }

  private void onLeaderReply(
      KnownLeader known, PeerReply reply, Throwable failure, long sentMs, long asOfMs) {
    reportInFlight = false;
    long nowMs = clock.nowMs();
    if (failure != null) {
      nextReportMs = nowMs + reportIntervalMs() / 2;
      boolean refused = PeerClient.isRefused(failure);
      if (refused && !connectionRefused
          || leaderContactMs + LeadershipTiming.SUSPICION_DELAY_MS > nowMs) {
        logger
            .atInfo()
            .atMostEvery(1, TimeUnit.SECONDS)
            .with(EventFields.NODE, known.node())
            .with(EventFields.FENCE, known.term())
            .with(EventFields.REASON, String.valueOf(failure))
            .log("leader did not answer");
      }
      connectionRefused = refused;
      return;
    }
    nextReportMs = sentMs + reportIntervalMs();
    connectionRefused = false;
    boolean isLeader = reply.getLeads() && reply.getLife() == known.incarnation();
    if (isLeader) {
      leaderContactMs = nowMs;
      election.reset();
      state.setLiveNodes(reply.getLiveNodesList());
    }
    applyReply(reply, asOfMs);
  }

  /**
   * Applies a reply.
   *
   * @param asOfMs when the report was sent, by the clock of the copies' ages, in milliseconds
   */
  private void applyReply(PeerReply reply, long asOfMs) {
    messages.apply(reply, asOfMs);
    if (reply.getStoreReached()) {
      started = started || state.isComplete();
      ages.record(upstreamTable, asOfMs - Math.max(0, reply.getStoreAgeMs()));
    }
  }

  private void onPeerReply(PeerReply reply, long asOfMs, long lossesNumber) {
    applyReply(reply, asOfMs);
    losses.onReply(reply, lossesNumber);
  }

  private void onLeaderObserved(KnownLeader observed) {
    Optional<KnownLeader> previous = leader;
    leader = KnownLeader.newer(leader, observed);
    if (leader != previous && (previous.isEmpty() || previous.get().term() != observed.term())) {
      connectionRefused = false;
      nextReportMs = clock.nowMs();
      leaderContactMs = clock.nowMs();
      logger
          .atInfo()
          .with(EventFields.NODE, observed.node())
          .with(EventFields.FENCE, observed.term())
          .with(EventFields.VERSION, observed.rowVersion().number())
          .log("leader changed");
      if (tasks != null && !isSelf(observed)) {
        tasks.end("another VM leads with a higher term");
      }
    }
  }

  private void onLeadershipAcquired(LeaderElection.Acquired acquired) {
    long nowMs = clock.nowMs();
    logger
        .atInfo()
        .with(EventFields.NODE, acquired.previous().node())
        .with(EventFields.PREVIOUS_FENCE, acquired.previous().term())
        .with(EventFields.FENCE, acquired.leader().term())
        .with(EventFields.REASON, acquired.previous().vacancy())
        .with(EventFields.LEFT_MS, acquired.earlierGrants().latestExpiryMs(timing) - nowMs)
        .log("leadership acquired");
    leader = Optional.of(acquired.leader());
    connectionRefused = false;
    readBeforeLeading(acquired);
  }

  /** Starts leading with the owners that the store holds after leadership was acquired. */
  private void readBeforeLeading(LeaderElection.Acquired acquired) {
    KnownLeader known = acquired.leader();
    store
        .readAll(SystemTables.RANGES, TablePoller.TIMEOUT_MS)
        .thenCombine(
            store.readAll(upstreamTable, TablePoller.TIMEOUT_MS),
            (ranges, upstreams) -> List.of(ranges, upstreams))
        .whenCompleteAsync(
            (pages, failure) -> {
              boolean stillLeader = leader.isPresent() && leader.get().equals(known);
              if (!stillLeader) {
                return;
              }
              if (failure != null) {
                loop.schedule(
                    () -> readBeforeLeading(acquired),
                    LeadershipTiming.RETRY_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
                return;
              }
              state.apply(SystemTables.RANGES, pages.get(0));
              state.apply(upstreamTable, pages.get(1));
              startLeading(acquired);
            },
            loop);
  }

  private void startLeading(LeaderElection.Acquired acquired) {
    started = true;
    tasks =
        new LeaderTasks(
            acquired, store, links.commands(), state, loads, timing, this, clocks, loop);
    broadcast(List.of());
  }

  @Override
  public void onLeadershipKept(KnownLeader kept) {
    leader = Optional.of(kept);
    broadcast(List.of());
  }

  @Override
  public void onOwnersWritten(String service, RowPage page) {
    state.apply(SystemTables.RANGES, page);
    broadcast(List.of(messages.rows(SystemTables.RANGES, page.rows())));
  }

  @Override
  public void onReleases(String service, List<RangeAssignment> ranges) {
    state.recordMoves(service, ranges, clock.nowMs());
    KnownLeader known = Assert.notNull(tasks, "tasks").leader();
    broadcaster.send(messages.moves(known, service, ranges));
  }

  /** Announces this leader and pushes rows to live entry VMs, or to all known if none is live. */
  private void broadcast(List<TableRows> rows) {
    KnownLeader known = Assert.notNull(tasks, "tasks").leader();
    broadcaster.send(messages.announcement(known, rows));
  }

  @Override
  public void onLeadershipLost(String reason) {
    logger
        .atWarning()
        .with(EventFields.NODE, node)
        .with(EventFields.REASON, reason)
        .log("leadership lost");
    tasks = null;
    leader = Optional.empty();
    leaderContactMs = clock.nowMs() - LeadershipTiming.SUSPICION_DELAY_MS;
  }

  /** Handles a report of another entry VM and returns the reply. */
  public PeerReply onReport(PeerReport report) {
    long nowMs = clock.nowMs();
    checkForPause(nowMs); // a leader that wakes up must not confirm what it knew before
    registry.recordReport(
        report.getNode(),
        new UpstreamAddress(report.getHost(), report.getPort()),
        report.getCutOff(),
        nowMs);
    if (report.getResignedTerm() > 0) {
      onResigned(report.getResignedTerm());
    }
    if (report.getLeads()) {
      onLeaderObserved(
          new KnownLeader(
              report.getNode(),
              report.getLife(),
              report.getLeaderTerm(),
              new UpstreamAddress(report.getHost(), report.getPort()),
              StoreVersion.NONE));
    }
    messages.apply(report, nowMs);
    lossKeeper.addTold(report.getLossesList());
    loads.add(report.getKeyLoadsList(), nowMs);
    loads.addWorkTimes(report.getWorkTimesList(), nowMs);
    return reply(report, nowMs);
  }

  private PeerReply reply(PeerReport report, long nowMs) {
    PeerReply.Builder reply =
        PeerReply.newBuilder()
            .setNode(node)
            .setLife(incarnation)
            .setStoreReached(upstreamsAgeMs() < 2 * ControlTiming.STORE_LOST_MS)
            .setStoreAgeMs(upstreamsAgeMs())
            .setLeads(
                tasks != null && tasks.confirmedAgeMs() < LeadershipTiming.ADVERTISE_WINDOW_MS);
    leader.ifPresent(known -> reply.setLeaderTerm(known.term()));
    if (tasks != null) {
      reply.addAllLiveNodes(registry.livePeers(nowMs).keySet()).addLiveNodes(node);
    }
    messages.addState(reply, report, ownTerm());
    return reply.build();
  }

  private OptionalLong ownTerm() {
    return tasks == null ? OptionalLong.empty() : OptionalLong.of(tasks.leader().term());
  }

  /** Tells the other VMs at once of upstreams that this VM lost while they ran requests. */
  public void onUpstreamLost(PoisonReport report) {
    if (lossKeeper.addOwn(report)) {
      reportEarly();
    }
  }

  private void pushLosses(List<UpstreamLoss> added) {
    if (tasks != null && !added.isEmpty()) {
      broadcaster.send(messages.losses(tasks.leader(), added));
    }
  }

  /** Reports to the leader at once, because of news that other VMs must hear soon. */
  public void reportEarly() {
    nextReportMs = Math.min(nextReportMs, clock.nowMs());
  }

  /** Requests the owners of keys early, because an owner has rejected a key. */
  public void refreshOwners() {
    refresh(readers::readOwners);
  }

  /** Requests the configuration early, because another VM has a newer one. */
  public void refreshConfiguration() {
    refresh(readers::readOperators);
  }

  private void refresh(Runnable read) {
    long nowMs = clock.nowMs();
    if (tasks == null && nowMs >= nextRefreshMs) {
      nextRefreshMs = nowMs + ControlTiming.REFRESH_MS;
      nextReportMs = Math.min(nextReportMs, nowMs);
      if (nowMs - leaderContactMs > reportIntervalMs() + ControlTiming.PEER_TIMEOUT_MS) {
        read.run();
      }
    }
  }

  /** Replaces the configured addresses of entry VMs. */
  public void replaceSeeds(List<UpstreamAddress> seeds) {
    registry.replaceSeeds(seeds);
  }

  /** Ends candidacy for leadership before the process ends; current leadership continues. */
  public void stop() {
    stopping = true;
  }

  /** Returns whether this VM is the leader. */
  public boolean isLeading() {
    return tasks != null;
  }
}
