package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.poison.LossLog;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.PoisonReport;
import org.foxtailford.schema.entry.PeerReply;
import org.foxtailford.schema.entry.PeerReport;
import org.foxtailford.schema.entry.UpstreamLoss;

/**
 * Exchanges the losses of upstreams that entry VMs have seen. Members report theirs to the leader,
 * which pushes them to all at once; what a push does not reach comes with the next report. Confined
 * to the event loop.
 */
public final class LossExchange {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long NO_TERM = 0;

  /**
   * Time after a loss from which a registration shows that the upstream has not ended, in
   * milliseconds. The registration of a process that has ended lapses after three heartbeats; the
   * rest allows for reads that are seconds behind.
   */
  static final long JUDGEMENT_MS = 10_000;

  private final LossLog log;
  private final PoisonTracker tracker;
  private final MillisClock clock;
  private long leaderTerm = NO_TERM;
  private long toldNumber;
  private long heardNumber;

  /**
   * Creates an exchange without losses.
   *
   * @param tracker receives the losses that other VMs tell
   */
  public LossExchange(LossLog log, PoisonTracker tracker, MillisClock clock) {
    this.log = Assert.notNull(log, "log");
    this.tracker = Assert.notNull(tracker, "tracker");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Adds losses that this VM has seen, which its tracker knows, and returns those to tell. */
  List<UpstreamLoss> addOwn(PoisonReport report) {
    long nowMs = clock.nowMs();
    long before = log.lastNumber();
    for (long fingerprint : report.getFingerprintsList()) {
      log.add(new LossLog.Loss(report.getUpstream(), fingerprint), nowMs);
    }
    return toMessages(log.after(before));
  }

  /** Adds losses that another VM tells, and returns those that were unknown. */
  List<UpstreamLoss> addTold(Collection<UpstreamLoss> losses) {
    long nowMs = clock.nowMs();
    long before = log.lastNumber();
    for (UpstreamLoss told : losses) {
      long atMs = nowMs - Math.max(0, told.getAgeMs());
      if (!told.getUpstream().isEmpty()
          && log.add(new LossLog.Loss(told.getUpstream(), told.getFingerprint()), atMs)) {
        tracker.applyLoss(told.getUpstream(), told.getFingerprint(), atMs);
        logger
            .atInfo()
            .with(EventFields.UPSTREAM, told.getUpstream())
            .with(EventFields.FINGERPRINT, Long.toHexString(told.getFingerprint()))
            .with(EventFields.AGE_MS, told.getAgeMs())
            .with(EventFields.REASON, tracker.verdict(told.getFingerprint()).name())
            .log("loss of an upstream heard");
      }
    }
    return toMessages(log.after(before));
  }

  /**
   * Takes back the losses of upstreams that have not ended: they are registered at a time at which
   * the registration of one that has ended would have lapsed.
   *
   * @param isRegistered whether a process, by its name, is registered now
   */
  void takeBackAsNeeded(Predicate<String> isRegistered) {
    long nowMs = clock.nowMs();
    for (LossLog.Entry entry : log.after(0)) {
      String upstream = entry.loss().upstream();
      if (nowMs - entry.atMs() >= JUDGEMENT_MS && isRegistered.test(upstream)) {
        log.takeBack(entry.loss());
        tracker.recordUpstreamAlive(upstream);
        logger
            .atInfo()
            .with(EventFields.UPSTREAM, upstream)
            .with(EventFields.FINGERPRINT, Long.toHexString(entry.loss().fingerprint()))
            .with(EventFields.AGE_MS, nowMs - entry.atMs())
            .log("loss of an upstream taken back");
      }
    }
  }

  /** Adds to a report what the leader was not told yet, and asks for what it has not told. */
  void addTo(PeerReport.Builder report, Optional<KnownLeader> leader) {
    long term = leader.map(KnownLeader::term).orElse(NO_TERM);
    if (term != leaderTerm) {
      leaderTerm = term;
      toldNumber = 0;
      heardNumber = 0;
    }
    report
        .addAllLosses(toMessages(log.after(toldNumber)))
        .setLossesTerm(leaderTerm)
        .setLossesNumber(heardNumber);
  }

  /**
   * Adds to a reply what the sender of the report lacks.
   *
   * @param ownTerm term in which this VM leads; empty if it doesn't
   */
  void addTo(PeerReply.Builder reply, PeerReport report, OptionalLong ownTerm) {
    boolean sameTerm = ownTerm.isPresent() && ownTerm.getAsLong() == report.getLossesTerm();
    reply
        .addAllLosses(toMessages(log.after(sameTerm ? report.getLossesNumber() : 0)))
        .setLossesNumber(log.lastNumber())
        .setLossesTerm(ownTerm.orElse(NO_TERM));
  }

  /** Returns the number up to which a report that is made now tells this VM's losses. */
  long lastNumber() {
    return log.lastNumber();
  }

  /**
   * Applies a reply.
   *
   * @param reportedNumber number up to which the report told this VM's losses
   */
  void onReply(PeerReply reply, long reportedNumber) {
    addTold(reply.getLossesList());
    if (leaderTerm != NO_TERM && reply.getLossesTerm() == leaderTerm) {
      toldNumber = Math.max(toldNumber, reportedNumber);
      heardNumber = reply.getLossesNumber();
    }
  }

  private List<UpstreamLoss> toMessages(List<LossLog.Entry> entries) {
    long nowMs = clock.nowMs();
    List<UpstreamLoss> messages = new ArrayList<>();
    for (LossLog.Entry entry : entries) {
      messages.add(
          UpstreamLoss.newBuilder()
              .setUpstream(entry.loss().upstream())
              .setFingerprint(entry.loss().fingerprint())
              .setAgeMs(nowMs - entry.atMs())
              .build());
    }
    return messages;
  }
}
