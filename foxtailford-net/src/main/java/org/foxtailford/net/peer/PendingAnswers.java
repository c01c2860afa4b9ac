package org.foxtailford.net.peer;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.PeerFrame;

/**
 * Requests on a link that are waiting for their answer, by correlation id. Correlation ids are
 * never reused, so a late answer matches no request and is dropped. Thread-safe.
 */
final class PendingAnswers {

  private final AtomicLong ids = new AtomicLong();
  private final ConcurrentMap<Long, CompletableFuture<PeerFrame>> answers =
      new ConcurrentHashMap<>();

  /** Returns the number of requests without an answer. */
  int size() {
    return answers.size();
  }

  long nextId() {
    return ids.incrementAndGet();
  }

  /**
   * Sends a request; the returned future completes with its answer.
   *
   * <p>Fails with {@link ResultCode#ANSWER_TIMEOUT} after the timeout, in milliseconds, and with
   * {@link ResultCode#OUTCOME_UNKNOWN} if the link is lost.
   */
  CompletableFuture<PeerFrame> submit(Channel channel, long id, PeerFrame request, long timeoutMs) {
    CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
    answers.put(id, answer);
    var timer =
        channel
            .eventLoop()
            .schedule(
                () -> fail(id, ResultCode.ANSWER_TIMEOUT, "no answer in " + timeoutMs + " ms"),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    answer.whenComplete(
        (received, failure) -> {
          timer.cancel(false);
          answers.remove(id);
        });
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                fail(id, ResultCode.OUTCOME_UNKNOWN, "the request was not sent whole");
              }
            });
    if (!channel.isActive()) {
      fail(id, ResultCode.OUTCOME_UNKNOWN, "the link was lost");
    }
    return answer;
  }

  void complete(long id, PeerFrame received) {
    CompletableFuture<PeerFrame> answer = answers.remove(id);
    if (answer != null) {
      answer.complete(received);
    }
  }

  void failAll() {
    answers.keySet().forEach(id -> fail(id, ResultCode.OUTCOME_UNKNOWN, "the link was lost"));
  }

  private void fail(long id, ResultCode code, String message) {
    CompletableFuture<PeerFrame> answer = answers.remove(id);
    if (answer != null) {
      answer.completeExceptionally(new ResultCodeException(code, message));
    }
  }
}
