package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.poison.PoisonVerdict;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.UpstreamFailure;
import org.foxtailford.schema.PoisonReport;

/**
 * Stops requests under which upstreams end. Tells the end of an upstream's process from a
 * connection that was lost for another reason, by whether the upstream accepts a connection
 * afterwards. Confined to the event loop.
 */
public final class PoisonGuard {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time after a lost connection until the upstream is judged, in milliseconds; by then the ends of
   * all connections to a process that has ended were read.
   */
  private static final long CHECK_DELAY_MS = 5;

  /** Maximum time for which a lost request waits for the judgement, in milliseconds. */
  private static final long MAX_JUDGEMENT_MS = 50;

  private final PoisonTracker tracker;
  private final ScheduledExecutorService loop;
  private final Consumer<PoisonReport> reportSender;
  private final BooleanSupplier cutOff;
  private final Map<UpstreamHandle, List<Runnable>> judgements = new HashMap<>();

  /**
   * Creates a guard.
   *
   * @param tracker counts the losses of each request, by incarnations of upstreams
   * @param reportSender receives the losses that this VM has seen
   * @param cutOff whether this VM reaches no upstream, so that a refused connection says nothing
   */
  public PoisonGuard(
      PoisonTracker tracker,
      ScheduledExecutorService loop,
      Consumer<PoisonReport> reportSender,
      BooleanSupplier cutOff) {
    this.tracker = Assert.notNull(tracker, "tracker");
    this.loop = Assert.notNull(loop, "loop");
    this.cutOff = Assert.notNull(cutOff, "cutOff");
    this.reportSender = Assert.notNull(reportSender, "reportSender");
  }

  /** Returns whether a request is refused, since upstreams ended while they ran it. */
  boolean isStopped(RequestCall call) {
    return verdict(call) == PoisonVerdict.POISON;
  }

  /**
   * Returns whether an upstream ended while it ran a request that was not answered since. Suspects
   * run one at a time at an upstream, so that its next loss tells which of them it was.
   */
  boolean isSuspect(RequestCall call) {
    return verdict(call) == PoisonVerdict.SUSPECT;
  }

  /** Computes no fingerprint while nothing is under suspicion, since each request comes here. */
  private PoisonVerdict verdict(RequestCall call) {
    return tracker.suspectCount() == 0 ? PoisonVerdict.CLEAR : tracker.verdict(call.fingerprint());
  }

  /** Returns the time for which a request is refused from now on, in milliseconds. */
  long refusedForMs(RequestCall call) {
    return tracker.suspectCount() == 0 ? 0 : tracker.refusedForMs(call.fingerprint());
  }

  /**
   * Records a complete answer that reports no failure, which clears the request; an error doesn't,
   * since it may come before the work begins.
   */
  void onServed(RequestCall call) {
    if (tracker.suspectCount() > 0) {
      tracker.recordAnswer(call.fingerprint());
    }
  }

  /**
   * Handles a connection that was lost before the answer was complete.
   *
   * @param sentMs when the request was sent, in milliseconds
   * @param judged called when it is known whether the upstream has ended, or after some time
   */
  void onConnectionLost(UpstreamHandle upstream, RequestCall call, long sentMs, Runnable judged) {
    String process = processAt(upstream, sentMs);
    report(upstream, tracker.recordConnectionLoss(process, call.fingerprint()));
    List<Runnable> waiting = judgements.get(upstream);
    if (waiting == null) {
      waiting = new ArrayList<>();
      judgements.put(upstream, waiting);
      loop.schedule(() -> judge(upstream), CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
      loop.schedule(() -> endJudgement(upstream), MAX_JUDGEMENT_MS, TimeUnit.MILLISECONDS);
    }
    waiting.add(judged);
  }

  /**
   * Returns the name of the process to which a request was sent: another one than those that were
   * lost before, though its registration may not be known yet.
   */
  private String processAt(UpstreamHandle upstream, long sentMs) {
    int number = 1;
    while (tracker.isLostBefore(upstream.processName(number), sentMs)) {
      number++;
    }
    return upstream.processName(number);
  }

  private void judge(UpstreamHandle upstream) {
    if (upstream.pool().openConnections() > 0) {
      endJudgement(upstream);
    } else {
      upstream.pool().probe(failure -> onProbed(upstream, failure));
    }
  }

  private void onProbed(UpstreamHandle upstream, Optional<UpstreamFailure> failure) {
    if (failure.isPresent() && failure.get() == UpstreamFailure.REFUSED) {
      onRefused(upstream);
    }
    endJudgement(upstream);
  }

  private void endJudgement(UpstreamHandle upstream) {
    List<Runnable> waiting = judgements.remove(upstream);
    if (waiting != null) {
      waiting.forEach(Runnable::run);
    }
  }

  /** Records that an upstream refused a connection, so that its process has probably ended. */
  void onRefused(UpstreamHandle upstream) {
    if (cutOff.getAsBoolean()) {
      return;
    }
    recordEnd(upstream);
  }

  private void recordEnd(UpstreamHandle upstream) {
    UpstreamByteLimits.onEnded(upstream);
    for (int number = 1; number <= upstream.processes(); number++) {
      report(upstream, tracker.recordUpstreamLoss(upstream.processName(number)));
    }
  }

  /** Records that another incarnation of an upstream has started. */
  void onRestarted(UpstreamHandle upstream) {
    for (RequestCall call : upstream.running()) {
      tracker.recordConnectionLoss(upstream.processName(upstream.processes()), call.fingerprint());
    }
    recordEnd(upstream);
  }

  private void report(UpstreamHandle upstream, Optional<PoisonReport> report) {
    report.ifPresent(
        losses -> {
          for (long fingerprint : losses.getFingerprintsList()) {
            logger
                .atInfo()
                .with(EventFields.UPSTREAM, upstream.entry().id())
                .with(EventFields.SERVICE, upstream.entry().service())
                .with(EventFields.FINGERPRINT, Long.toHexString(fingerprint))
                .with(EventFields.REASON, tracker.verdict(fingerprint).name())
                .log("upstream ended under request");
          }
          reportSender.accept(losses);
        });
  }
}
