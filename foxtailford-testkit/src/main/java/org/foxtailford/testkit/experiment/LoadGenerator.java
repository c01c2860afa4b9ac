package org.foxtailford.testkit.experiment;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * Sends every arrival when it is due, to one entry VM after the other, and waits for no answer.
 * Latencies count from when a request was due, so a stall of either side shows.
 */
final class LoadGenerator {

  /** Time beyond the callers' timeout in which the system's own answer may come. */
  private static final int ANSWER_GRACE_MS = 500;

  private static final byte[] CONTENT = "{}".getBytes(StandardCharsets.UTF_8);

  private final HttpClient client;
  private final List<Endpoint> entryVms;
  private final int timeoutMs;

  LoadGenerator(HttpClient client, List<Endpoint> entryVms, int timeoutMs) {
    this.client = Assert.notNull(client, "client");
    this.entryVms = List.copyOf(Assert.notNull(entryVms, "entryVms"));
    this.timeoutMs = timeoutMs;
  }

  /**
   * Sends the arrivals and waits for what becomes of them.
   *
   * @param arrivals arrivals in the order of time
   * @param startNanos value of {@link System#nanoTime()} at which the load begins
   */
  List<RequestOutcome> run(List<Arrival> arrivals, long startNanos) {
    List<CompletableFuture<RequestOutcome>> outcomes = new ArrayList<>(arrivals.size());
    for (int i = 0; i < arrivals.size(); i++) {
      Arrival arrival = arrivals.get(i);
      long dueNanos = startNanos + TimeUnit.MICROSECONDS.toNanos(arrival.dueMicros());
      parkUntil(dueNanos);
      outcomes.add(send(arrival, i, dueNanos));
    }
    return outcomes.stream().map(CompletableFuture::join).toList();
  }

  private static void parkUntil(long dueNanos) {
    long leftNanos = dueNanos - System.nanoTime();
    while (leftNanos > 0) {
      LockSupport.parkNanos(leftNanos);
      leftNanos = dueNanos - System.nanoTime();
    }
  }

  private CompletableFuture<RequestOutcome> send(Arrival arrival, int number, long dueNanos) {
    Endpoint entryVm = entryVms.get(number % entryVms.size());
    return client
        .send(entryVm, toExchange(arrival, number), timeoutMs + ANSWER_GRACE_MS)
        .handle((answer, failure) -> toOutcome(arrival, dueNanos, answer, failure));
  }

  private HttpExchange toExchange(Arrival arrival, int number) {
    HttpHeaders headers = new DefaultHttpHeaders().set(FoxtailHeaders.TIMEOUT_MS, timeoutMs);
    arrival.key().ifPresent(key -> headers.set(FoxtailHeaders.KEY, key));
    String uri = "/" + arrival.service() + "/" + arrival.kind();
    if (arrival.idempotent()) {
      return new HttpExchange(HttpMethod.GET, uri, headers, new byte[0]);
    }
    headers.set(FoxtailHeaders.REQUEST_ID, "request-" + number);
    headers.set(FoxtailHeaders.FIRST_SEND, "true");
    return new HttpExchange(HttpMethod.POST, uri, headers, CONTENT);
  }

  private static RequestOutcome toOutcome(
      Arrival arrival, long dueNanos, @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    long latencyMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
    long dueMs = TimeUnit.MICROSECONDS.toMillis(arrival.dueMicros());
    int code =
        answer == null
            ? ResultCodeException.codeOf(Assert.notNull(failure, "failure")).number()
            : Integer.parseInt(answer.headers().get(FoxtailHeaders.CODE, "-1"));
    String upstream = answer == null ? "" : answer.headers().get(FoxtailHeaders.UPSTREAM, "");
    return new RequestOutcome(
        arrival.service(), arrival.key(), dueMs, latencyMicros, code, upstream);
  }
}
