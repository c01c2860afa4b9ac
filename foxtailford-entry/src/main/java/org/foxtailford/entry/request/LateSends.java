package org.foxtailford.entry.request;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.time.ArrivalClock;
import org.foxtailford.core.util.Assert;

/**
 * Puts off what would be sent after the event loop was late, until the ends of callers that left
 * meanwhile have been read. Confined to the event loop.
 *
 * <p>An upstream's answer and the end of a caller are found in the same pass of reading, in any
 * order. What has waited goes before what was put off.
 */
final class LateSends {

  private final ArrivalClock arrivals;
  private final EventLoop loop;
  private final RequestScheduler scheduler;
  private final Deque<RequestCall> calls = new ArrayDeque<>();
  private boolean scheduled;

  LateSends(ArrivalClock arrivals, EventLoop loop, RequestScheduler scheduler) {
    this.arrivals = Assert.notNull(arrivals, "arrivals");
    this.loop = Assert.notNull(loop, "loop");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
  }

  /** Returns whether the end of a request's caller may be there, but not read. */
  boolean mayHaveLeft(RequestCall call) {
    return arrivals.isBeforeFirstPass() || call.exchange().isCatchingUp();
  }

  /** Has a request submitted later if its caller may have left. */
  boolean tryPutOff(RequestCall call) {
    boolean late = mayHaveLeft(call);
    if (late) {
      calls.add(call);
      schedule();
    }
    return late;
  }

  /** Has the queues processed later if any caller may have left. */
  boolean tryPutOffQueues() {
    boolean late = arrivals.isBeforeFirstPass();
    if (late) {
      schedule();
    }
    return late;
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.schedule(this::run, 0, TimeUnit.MILLISECONDS); // after the next pass, if it is a task's
    }
  }

  private void run() {
    scheduled = false;
    try {
      scheduler.tick();
      for (int left = calls.size(); left > 0; left--) {
        RequestCall call = calls.remove();
        if (!call.isFinished()) {
          scheduler.submit(call);
        }
      }
    } finally {
      if (!calls.isEmpty()) {
        schedule();
      }
    }
  }
}
