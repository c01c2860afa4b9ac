package org.foxtailford.entry.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeOwner;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.OwnerLossPolicy;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;

/**
 * Sends idempotent requests without an answer to the new owner of their keys when the former one is
 * lost, within the attempts, the retry budget and the time of each request. Confined to the event
 * loop.
 *
 * <p>Nothing is ended before the new owner has room: until then the former one may still answer.
 */
final class OwnerLossRetry {

  /** Interval of the checks while requests are at a former owner, in milliseconds. */
  private static final long CHECK_INTERVAL_MS = 20;

  /** Fraction of the average time of an answer that must be left for another attempt. */
  private static final double MIN_TIME_SHARE = 0.5;

  private static final String REASON = "owner lost";

  private final RoutingView view;
  private final UpstreamRegistry registry;
  private final UpstreamSelector upstreams;
  private final RequestScheduler scheduler;
  private final MillisClock clock;
  private final ScheduledExecutorService loop;
  private boolean checkScheduled;

  OwnerLossRetry(
      RoutingView view,
      UpstreamRegistry registry,
      UpstreamSelector upstreams,
      RequestScheduler scheduler,
      MillisClock clock,
      ScheduledExecutorService loop) {
    this.view = Assert.notNull(view, "view");
    this.registry = Assert.notNull(registry, "registry");
    this.upstreams = Assert.notNull(upstreams, "upstreams");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
  }

  /**
   * Checks the requests at all upstreams, after a change of the routing state. Those at a former
   * owner are checked again until they have ended or have been sent to the new one.
   */
  void check() {
    boolean undecided = false;
    for (UpstreamHandle upstream : registry.allWithRetired()) {
      for (RequestCall call : List.copyOf(upstream.running())) {
        undecided |= mayMove(call, upstream) && !tryMove(call, upstream);
      }
    }
    if (undecided && !checkScheduled) {
      checkScheduled = true;
      loop.schedule(this::runCheck, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void runCheck() {
    checkScheduled = false;
    check();
  }

  /** Returns whether a request may be sent to another owner than the one that has it. */
  private boolean mayMove(RequestCall call, UpstreamHandle upstream) {
    return call.key().isPresent()
        && call.route().kind().isIdempotent()
        && call.canRetry()
        && call.terms().deadlineMs() - clock.nowMs()
            > MIN_TIME_SHARE * upstreams.averageMs(call.service().name())
        && (isGone(upstream.entry()) || hasOtherOwner(call, upstream.entry()))
        && !call.hasSeveralAttempts()
        && !scheduler.poison().isStopped(call);
  }

  /** Returns whether the process is no longer registered; not if its registration has lapsed. */
  private boolean isGone(UpstreamEntry entry) {
    return view.upstreams().find(entry.id()).filter(entry::isSameIncarnation).isEmpty();
  }

  private boolean hasOtherOwner(RequestCall call, UpstreamEntry entry) {
    Optional<RangeOwner> owner = upstreams.owner(call).map(RangeAssignment::owner);
    return owner.isPresent() && !owner.get().equals(new RangeOwner(entry.id(), entry.bornMs()));
  }

  /**
   * Sends a request to the new owner of its key if the former one is lost and the new one has room.
   *
   * @return false if that may be possible later
   */
  private boolean tryMove(RequestCall call, UpstreamHandle former) {
    UpstreamEntry entry = former.entry();
    boolean gone = isGone(entry);
    boolean lost =
        OwnerLossPolicy.isLost(
            gone,
            !gone && !view.upstreams().isUsable(entry),
            former.load().silentMs(clock.nowMs()),
            former.load().workMs(upstreams.averageMs(call.service().name())));
    if (!lost || !hasOtherOwner(call, entry)) {
      return false;
    }
    Optional<UpstreamHandle> next =
        upstreams.findFree(call, scheduler.poison().isSuspect(call)).filter(h -> h != former);
    if (next.isEmpty()) {
      return false;
    }
    if (scheduler.tryRetry(call, REASON)) {
      if (gone) {
        call.abandonAt(former);
      }
      scheduler.sendTo(call, next.get());
    }
    return true;
  }
}
