package org.foxtailford.testkit.homes;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.foxtailford.testkit.simulation.EventQueue;

/** Carries calls of processes: late, without an answer, or not at all. */
final class HomeNetwork {

  private static final int TIMEOUT_MS = 300;
  private static final int USUAL_DELAY_MS = 8;

  private final EventQueue queue;
  private final Random random;

  HomeNetwork(EventQueue queue, Random random) {
    this.queue = queue;
    this.random = random;
  }

  /** State of the way between a data centre and the table. */
  static final class Way {
    private boolean cut;
    private int lostAnswersPercent;
    private int slowMs;

    void setCut(boolean value) {
      cut = value;
    }

    void setLostAnswersPercent(int value) {
      lostAnswersPercent = value;
    }

    /** Sets the longest delay of the half of calls that are slow; their effect may come late. */
    void setSlowMs(int value) {
      slowMs = value;
    }
  }

  /**
   * Calls something.
   *
   * @param caller process that calls and gets the answer
   * @param way the way that the call takes
   * @param up tells at the arrival whether the callee is up
   * @param effect what the callee does
   */
  <T> CompletableFuture<T> call(
      HomeProcess caller, Way way, BooleanSupplier up, Supplier<T> effect) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    queue.schedule(
        TIMEOUT_MS,
        () -> caller.execute(() -> answer.completeExceptionally(new TimeoutException("timeout"))));
    if (!way.cut) {
      queue.schedule(delayMs(way), () -> arrive(caller, way, up, effect, answer));
    }
    return answer;
  }

  private <T> void arrive(
      HomeProcess caller,
      Way way,
      BooleanSupplier up,
      Supplier<T> effect,
      CompletableFuture<T> answer) {
    if (!up.getAsBoolean()) {
      return;
    }
    T result = effect.get();
    if (way.cut || random.nextInt(100) < way.lostAnswersPercent) {
      return;
    }
    queue.schedule(delayMs(way), () -> caller.execute(() -> answer.complete(result)));
  }

  private int delayMs(Way way) {
    boolean slow = way.slowMs > 0 && random.nextBoolean();
    return random.nextInt(slow ? way.slowMs : USUAL_DELAY_MS);
  }
}
