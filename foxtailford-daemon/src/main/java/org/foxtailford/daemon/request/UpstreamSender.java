package org.foxtailford.daemon.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.UpstreamClient;
import org.foxtailford.net.http.UpstreamRefusal;

/** Sends attempts of requests to upstreams and converts refusals to failures. Thread-safe. */
public final class UpstreamSender {

  private final UpstreamClient client;
  private final AtomicLong attemptCounter = new AtomicLong();

  public UpstreamSender(UpstreamClient client) {
    this.client = Assert.notNull(client, "client");
  }

  /**
   * Proof of ownership that an owner checks before it runs a keyed request.
   *
   * @param keyHash hash of the request's key
   * @param fence fence under which the key is owned
   */
  public record Ownership(long keyHash, Fence fence) {}

  /**
   * Sends one attempt of a request.
   *
   * @param upstream target of the attempt
   * @param exchange the caller's request
   * @param ownership present for keyed services
   * @param bootId boot id that the upstream must have; empty if any will do
   * @param timeoutMs time allowed for the attempt, in milliseconds
   * @return the upstream's whole answer; completes exceptionally with a result code if there is
   *     none. Cancelling it cancels the attempt and closes its connection.
   */
  public CompletableFuture<HttpAnswer> send(
      Upstream upstream,
      HttpExchange exchange,
      Optional<Ownership> ownership,
      OptionalLong bootId,
      long timeoutMs) {
    String attemptId = Long.toString(attemptCounter.incrementAndGet());
    HttpHeaders headers = exchange.headers().copy();
    headers.set(FoxtailHeaders.ATTEMPT, attemptId);
    headers.set(FoxtailHeaders.TIMEOUT_MS, timeoutMs);
    ownership.ifPresent(o -> headers.set(FoxtailHeaders.FENCE, o.fence().toString()));
    ownership.ifPresent(
        o -> headers.set(FoxtailHeaders.KEY_HASH, String.format("%016x", o.keyHash())));
    HttpExchange outgoing =
        new HttpExchange(exchange.method(), exchange.uri(), headers, exchange.body());
    CompletableFuture<HttpAnswer> sent =
        client.send(upstream.address(), outgoing, bootId, timeoutMs);
    CompletableFuture<HttpAnswer> verified =
        sent.thenApply(answer -> toCallerAnswer(answer, upstream));
    verified.whenComplete((answer, failure) -> sent.cancel(false));
    return verified;
  }

  private static HttpAnswer toCallerAnswer(HttpAnswer answer, Upstream upstream) {
    Optional<UpstreamRefusal> refusal = UpstreamRefusal.of(answer);
    if (refusal.isPresent()) {
      throw new ResultCodeException(
          refusal.get().code(), upstream.name() + " refused: " + refusal.get().headerValue());
    }
    answer.headers().remove(FoxtailHeaders.ATTEMPT);
    answer.headers().remove(FoxtailHeaders.BOOT_ID);
    answer.headers().set(FoxtailHeaders.UPSTREAM, upstream.name());
    return answer;
  }
}
