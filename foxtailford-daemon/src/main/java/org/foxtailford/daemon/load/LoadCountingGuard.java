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

/** Counts the attempts that another guard lets through to owners of keys. Thread-safe. */
public final class LoadCountingGuard implements AttemptGuard {

  private final AttemptGuard guard;
  private final SliceLoadRecorder recorder;

  public LoadCountingGuard(AttemptGuard guard, SliceLoadRecorder recorder) {
    this.guard = Assert.notNull(guard, "guard");
    this.recorder = Assert.notNull(recorder, "recorder");
  }

  @Override
  public CompletableFuture<HttpAnswer> run(
      HttpExchange exchange,
      RequestAttributes attributes,
      boolean idempotent,
      String upstream,
      Supplier<CompletableFuture<HttpAnswer>> attempt) {
    return guard.run(
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
