package org.foxtailford.daemon.load;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.load.SliceLoadRecorder;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.slice.KeyHashing;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.request.AttemptGuard;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;

/** Counts the attempts with a key that another guard admits, per slice of the key. Thread-safe. */
public final class LoadCountingGuard implements AttemptGuard {

  private final AttemptGuard delegate;
  private final SliceLoadRecorder recorder;

  /**
   * Creates a guard.
   *
   * @param delegate decides whether an attempt runs
   * @param recorder counts the attempts that run
   */
  public LoadCountingGuard(AttemptGuard delegate, SliceLoadRecorder recorder) {
    this.delegate = Assert.notNull(delegate, "delegate");
    this.recorder = Assert.notNull(recorder, "recorder");
  }

  @Override
  public CompletableFuture<HttpAnswer> run(
      HttpExchange exchange,
      RequestAttributes attributes,
      boolean idempotent,
      String upstream,
      Supplier<CompletableFuture<HttpAnswer>> attempt) {
    return delegate.run(
        exchange,
        attributes,
        idempotent,
        upstream,
        () -> {
          attributes
              .key()
              .ifPresent(key -> recorder.record(attributes.service(), KeyHashing.hash(key)));
          return attempt.get();
        });
  }
}
