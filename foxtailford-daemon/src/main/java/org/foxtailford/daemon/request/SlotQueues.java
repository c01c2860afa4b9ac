package org.foxtailford.daemon.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.foxtailford.core.admission.AdmissionRefusal;
import org.foxtailford.core.admission.WaitingQueue;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Queues of requests that wait for a slot, one for each service or owner. Thread-safe.
 *
 * <p>A queue that isn't empty is also checked periodically, even if no slot was released, because a
 * paused upstream accepts requests again without any event.
 */
final class SlotQueues {

  /** Interval between checks of a queue that is not empty, in milliseconds. */
  private static final long RECHECK_INTERVAL_MS = 10;

  /** Maximum number of requests that leave a queue at one check. */
  private static final int MAX_RETRIES_PER_RECHECK = 8;

  private final Map<String, SlotQueue> queues = new ConcurrentHashMap<>();
  private final int capacity;
  private final MillisClock clock;
  private final TaskScheduler scheduler;
  private final Consumer<RequestCall> retry;
  private final BiConsumer<RequestCall, AdmissionRefusal> shed;

  /**
   * Creates empty queues.
   *
   * @param capacity maximum number of requests in one queue; positive
   * @param clock this VM's clock
   * @param scheduler schedules the checks
   * @param retry makes the next attempt of a request that leaves a queue
   * @param shed rejects a request that found no room or has waited too long
   */
  SlotQueues(
      int capacity,
      MillisClock clock,
      TaskScheduler scheduler,
      Consumer<RequestCall> retry,
      BiConsumer<RequestCall, AdmissionRefusal> shed) {
    this.capacity = capacity;
    this.clock = Assert.notNull(clock, "clock");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.retry = Assert.notNull(retry, "retry");
    this.shed = Assert.notNull(shed, "shed");
  }

  /** One queue, with the flag that allows only one pending check of it. */
  private record SlotQueue(WaitingQueue<RequestCall> queue, AtomicBoolean recheckScheduled) {}

  /** Adds a request to the named queue; sheds the lowest-priority one if the queue is full. */
  void add(String name, RequestCall call, int priority, long expiresAtMs) {
    SlotQueue slotQueue =
        queues.computeIfAbsent(
            name, n -> new SlotQueue(new WaitingQueue<>(capacity), new AtomicBoolean()));
    Optional<RequestCall> evicted = slotQueue.queue().add(call, priority, expiresAtMs);
    evicted.ifPresent(rejected -> shed.accept(rejected, AdmissionRefusal.QUEUE_FULL));
    scheduleRecheck(slotQueue);
  }

  /** Retries the next request of a queue after a slot was released. */
  void onSlotReleased(String name) {
    SlotQueue slotQueue = queues.get(name);
    if (slotQueue != null) {
      slotQueue.queue().poll(clock.nowMs()).ifPresent(retry);
    }
  }

  /** Removes a request whose caller has disconnected. */
  void remove(RequestCall call) {
    queues.values().forEach(slotQueue -> slotQueue.queue().remove(call));
  }

  private void scheduleRecheck(SlotQueue slotQueue) {
    if (slotQueue.recheckScheduled().compareAndSet(false, true)) {
      scheduler.schedule(() -> recheck(slotQueue), RECHECK_INTERVAL_MS);
    }
  }

  private void recheck(SlotQueue slotQueue) {
    slotQueue.recheckScheduled().set(false);
    long nowMs = clock.nowMs();
    slotQueue
        .queue()
        .removeExpired(nowMs)
        .forEach(call -> shed.accept(call, AdmissionRefusal.QUEUE_TIME));
    int batch = Math.min(MAX_RETRIES_PER_RECHECK, slotQueue.queue().size());
    for (int i = 0; i < batch; i++) {
      slotQueue.queue().poll(nowMs).ifPresent(retry);
    }
    if (slotQueue.queue().size() > 0) {
      scheduleRecheck(slotQueue);
    }
  }
}
