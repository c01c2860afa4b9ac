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
 * Requests that wait for a slot, one queue for each service or owner. Thread-safe.
 *
 * <p>A queue that is not empty is looked at again after a short time even if no slot was given
 * back, since a paused upstream takes requests again without any event.
 */
final class SlotQueues {

  private static final long RECHECK_MS = 10;
  private static final int RECHECK_BATCH = 8;

  private final Map<String, Line> lines = new ConcurrentHashMap<>();
  private final int capacity;
  private final MillisClock clock;
  private final TaskScheduler tasks;
  private final Consumer<RequestCall> retry;
  private final BiConsumer<RequestCall, AdmissionRefusal> shed;

  /**
   * Creates empty queues.
   *
   * @param capacity most requests in one queue
   * @param clock this VM's clock
   * @param tasks runs the rechecks
   * @param retry takes a request whose turn it is
   * @param shed takes a request that is refused
   */
  SlotQueues(
      int capacity,
      MillisClock clock,
      TaskScheduler tasks,
      Consumer<RequestCall> retry,
      BiConsumer<RequestCall, AdmissionRefusal> shed) {
    this.capacity = capacity;
    this.clock = Assert.notNull(clock, "clock");
    this.tasks = Assert.notNull(tasks, "tasks");
    this.retry = Assert.notNull(retry, "retry");
    this.shed = Assert.notNull(shed, "shed");
  }

  private record Line(WaitingQueue<RequestCall> queue, AtomicBoolean recheckPlanned) {}

  void add(String name, RequestCall call, int worth, long untilMs) {
    Line line =
        lines.computeIfAbsent(
            name, n -> new Line(new WaitingQueue<>(capacity), new AtomicBoolean()));
    Optional<RequestCall> loser = line.queue().add(call, worth, untilMs);
    loser.ifPresent(lost -> shed.accept(lost, AdmissionRefusal.QUEUE_FULL));
    planRecheck(line);
  }

  /** Lets the next request of a queue try again after a slot was given back. */
  void slotReleased(String name) {
    Line line = lines.get(name);
    if (line != null) {
      line.queue().poll(clock.nowMs()).ifPresent(retry);
    }
  }

  /** Removes a request whose caller went away. */
  void remove(RequestCall call) {
    lines.values().forEach(line -> line.queue().remove(call));
  }

  private void planRecheck(Line line) {
    if (line.recheckPlanned().compareAndSet(false, true)) {
      tasks.schedule(() -> recheck(line), RECHECK_MS);
    }
  }

  private void recheck(Line line) {
    line.recheckPlanned().set(false);
    long nowMs = clock.nowMs();
    line.queue()
        .removeExpired(nowMs)
        .forEach(call -> shed.accept(call, AdmissionRefusal.QUEUE_TIME));
    int batch = Math.min(RECHECK_BATCH, line.queue().size());
    for (int i = 0; i < batch; i++) {
      line.queue().poll(nowMs).ifPresent(retry);
    }
    if (line.queue().size() > 0) {
      planRecheck(line);
    }
  }
}
