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
 * Questions on a link that have no answer yet, by correlation ids that are never used twice. A late
 * answer finds none and is dropped. Thread-safe.
 */
final class PendingAnswers {

  private final AtomicLong ids = new AtomicLong();
  private final ConcurrentMap<Long, CompletableFuture<PeerFrame>> answers =
      new ConcurrentHashMap<>();

  /** Returns the number of questions without an answer. */
  int size() {
    return answers.size();
  }

  long nextId() {
    return ids.incrementAndGet();
  }

  /** Sends a question and waits for its answer. */
  CompletableFuture<PeerFrame> ask(Channel open, long id, PeerFrame question, long timeoutMs) {
    CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
    answers.put(id, answer);
    var timer =
        open.eventLoop()
            .schedule(
                () -> fail(id, ResultCode.ANSWER_TIMEOUT, "no answer in " + timeoutMs + " ms"),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    answer.whenComplete(
        (received, failure) -> {
          timer.cancel(false);
          answers.remove(id);
        });
    open.writeAndFlush(question)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                fail(id, ResultCode.OUTCOME_UNKNOWN, "the request was not sent whole");
              }
            });
    if (!open.isActive()) {
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
