package org.foxtailford.benchmarks.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.net.http.HttpAnswer;

/** An upstream with slots and a short queue, which refuses what does not fit. */
final class ModelUpstream {

  private static final long FIXED_MICROS = 2000;
  private static final double VARIABLE_MEAN_MICROS = 3000;

  /** Mean time of a request without a straggler, in microseconds. */
  static final double MEAN_MICROS = FIXED_MICROS + VARIABLE_MEAN_MICROS;

  private final EventQueue events;
  private final Random random;
  private final int slots;
  private final int queueCapacity;
  private final Deque<Work> queue = new ArrayDeque<>();
  private double slowFactor = 1;
  private boolean shedding;
  private int running;
  private long received;
  private long started;
  private long finished;

  ModelUpstream(EventQueue events, Random random, int slots, int queueCapacity) {
    this.events = events;
    this.random = random;
    this.slots = slots;
    this.queueCapacity = queueCapacity;
  }

  /** One request at this upstream. */
  private final class Work {
    private final CompletableFuture<HttpAnswer> answer;
    private final long returnMicros;
    private Runnable cancelEnd = () -> {};
    private boolean runs;
    private boolean over;

    Work(CompletableFuture<HttpAnswer> answer, long returnMicros) {
      this.answer = answer;
      this.returnMicros = returnMicros;
    }

    void start() {
      runs = true;
      running++;
      started++;
      double micros = FIXED_MICROS - VARIABLE_MEAN_MICROS * Math.log(1 - random.nextDouble());
      cancelEnd = events.after((long) (micros * slowFactor), this::end);
    }

    private void end() {
      finished++;
      leave();
      events.after(returnMicros, () -> answer.complete(HttpAnswer.text(200, "text/plain", "")));
    }

    void cancel() {
      if (!over) {
        cancelEnd.run();
        leave();
      }
    }

    private void leave() {
      over = true;
      if (runs) {
        running--;
      } else {
        queue.remove(this);
      }
      startNext();
    }
  }

  private void startNext() {
    if (running < slots && !queue.isEmpty()) {
      queue.remove().start();
    }
  }

  /** Sends a request that arrives after the way there. */
  CompletableFuture<HttpAnswer> send(long oneWayMicros) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    events.after(oneWayMicros, () -> arrive(answer, oneWayMicros));
    return answer;
  }

  private void arrive(CompletableFuture<HttpAnswer> answer, long oneWayMicros) {
    received++;
    boolean full = running >= slots && queue.size() >= queueCapacity;
    if (shedding || full) {
      ResultCodeException refusal = new ResultCodeException(ResultCode.UPSTREAM_SHED, "full");
      events.after(oneWayMicros, () -> answer.completeExceptionally(refusal));
      return;
    }
    Work work = new Work(answer, oneWayMicros);
    answer.whenComplete(
        (result, failure) -> {
          if (answer.isCancelled()) {
            events.after(oneWayMicros, work::cancel);
          }
        });
    queue.add(work);
    startNext();
  }

  void setSlowFactor(double value) {
    slowFactor = value;
  }

  void setShedding(boolean value) {
    shedding = value;
  }

  /** Returns the requests that arrived, refused ones included. */
  long received() {
    return received;
  }

  /** Returns the requests that were started. */
  long started() {
    return started;
  }

  /** Returns the requests that ran to their end. */
  long finished() {
    return finished;
  }
}
