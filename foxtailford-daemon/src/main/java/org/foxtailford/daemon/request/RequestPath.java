package org.foxtailford.daemon.request;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.idempotency.RequestGuard;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.schema.HeaderField;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/** The way of one request from its arrival to its answer. Thread-safe. */
public final class RequestPath {

  private static final int MAX_ATTEMPTS = 2;

  private final RequestRouter router;
  private final Supplier<RoutingSnapshot> snapshots;
  private final UpstreamSender sender;
  private final RequestGuard guard;
  private final PeerNetwork peers;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final int maxInFlight;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean stopping;

  public RequestPath(
      RequestRouter router,
      Supplier<RoutingSnapshot> snapshots,
      UpstreamSender sender,
      RequestGuard guard,
      PeerNetwork peers,
      RouterMetrics metrics,
      MillisClock clock,
      int maxInFlight) {
    this.router = Assert.notNull(router, "router");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.sender = Assert.notNull(sender, "sender");
    this.guard = Assert.notNull(guard, "guard");
    this.peers = Assert.notNull(peers, "peers");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
    this.maxInFlight = maxInFlight;
  }

  /** Refuses new requests from now on. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Returns the number of requests that have no answer yet. */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Serves a request.
   *
   * @return the answer, which tells its own result; never fails
   */
  public CompletableFuture<HttpAnswer> serve(HttpExchange exchange, RequestAttributes attributes) {
    long startedMs = clock.nowMs();
    int before = inFlight.getAndIncrement();
    CompletableFuture<HttpAnswer> answer;
    if (stopping) {
      answer = failed(ResultCode.STOPPING, "this VM is stopping");
    } else if (before >= maxInFlight) {
      answer = failed(ResultCode.OVERLOADED, "too many requests in flight");
    } else {
      answer = attempt(exchange, attributes, 1);
    }
    return answer
        .handle((received, failure) -> finish(attributes, startedMs, received, failure))
        .whenComplete((received, failure) -> inFlight.decrementAndGet());
  }

  private HttpAnswer finish(
      RequestAttributes attributes, long startedMs, HttpAnswer received, Throwable failure) {
    ResultCode code = failure == null ? ResultCode.OK : ResultCodeException.codeOf(failure);
    count(attributes, code, clock.nowMs() - startedMs);
    if (failure == null) {
      return Answers.marked(received, ResultCode.OK);
    }
    metrics.refusal(code);
    return Answers.of(code, messageOf(failure));
  }

  private static String messageOf(Throwable failure) {
    boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
    return String.valueOf((wrapped ? failure.getCause() : failure).getMessage());
  }

  private void count(RequestAttributes attributes, ResultCode code, long elapsedMs) {
    snapshots
        .get()
        .configuration()
        .service(attributes.service())
        .map(service -> service.kinds().get(attributes.kind()))
        .ifPresent(
            kind ->
                metrics.request(
                    attributes.service(), attributes.kind(), kind.getWorth(), code, elapsedMs));
  }

  private CompletableFuture<HttpAnswer> attempt(
      HttpExchange exchange, RequestAttributes attributes, int number) {
    RouteDecision decision = router.decide(attributes, snapshots.get(), clock.nowMs());
    if (decision instanceof RouteDecision.ToDataCentre) {
      return relay(exchange, attributes, ((RouteDecision.ToDataCentre) decision).dataCentre());
    }
    return send(decision, exchange, attributes)
        .handle(
            (answer, failure) -> {
              if (failure != null && mayRetry(failure, number)) {
                metrics.retry(ResultCodeException.codeOf(failure));
                return attempt(exchange, attributes, number + 1);
              }
              return failure == null
                  ? CompletableFuture.completedFuture(answer)
                  : CompletableFuture.<HttpAnswer>failedFuture(failure);
            })
        .thenCompose(next -> next);
  }

  private static boolean mayRetry(Throwable failure, int number) {
    ResultCode code = ResultCodeException.codeOf(failure);
    boolean another =
        code == ResultCode.UPSTREAM_UNREACHABLE
            || code == ResultCode.UPSTREAM_SHED
            || code == ResultCode.UPSTREAM_COLD;
    return another && code.effect() == Effect.NOT_RUN && number < MAX_ATTEMPTS;
  }

  private CompletableFuture<HttpAnswer> send(
      RouteDecision decision, HttpExchange exchange, RequestAttributes attributes) {
    if (decision instanceof RouteDecision.ToOwner) {
      RouteDecision.ToOwner owner = (RouteDecision.ToOwner) decision;
      UpstreamSender.Ownership ownership =
          new UpstreamSender.Ownership(owner.keyHash(), owner.fence());
      return guard.run(
          exchange,
          attributes,
          owner.kind().getIdempotent(),
          owner.upstream().name(),
          () ->
              sender.send(
                  owner.upstream(), exchange, Optional.of(ownership), remainingMs(attributes)));
    }
    if (decision instanceof RouteDecision.ToAny) {
      RouteDecision.ToAny any = (RouteDecision.ToAny) decision;
      return guard.run(
          exchange,
          attributes,
          any.kind().getIdempotent(),
          any.upstream().name(),
          () -> sender.send(any.upstream(), exchange, Optional.empty(), remainingMs(attributes)));
    }
    RouteDecision.Refuse refuse = (RouteDecision.Refuse) decision;
    return failed(refuse.code(), refuse.message());
  }

  private long remainingMs(RequestAttributes attributes) {
    return attributes.deadlineMs() - clock.nowMs();
  }

  private CompletableFuture<HttpAnswer> relay(
      HttpExchange exchange, RequestAttributes attributes, String dataCentre) {
    Optional<PeerLink> link = peers.anyIn(dataCentre);
    if (link.isEmpty()) {
      return failed(ResultCode.HOME_UNREACHABLE, "no link to data centre " + dataCentre);
    }
    metrics.relay(dataCentre);
    long remainingMs = attributes.deadlineMs() - clock.nowMs();
    RelayRequest.Builder request =
        RelayRequest.newBuilder()
            .setMethod(exchange.method().name())
            .setUri(exchange.uri())
            .setBody(ByteString.copyFrom(exchange.body()))
            .setRemainingMs((int) remainingMs)
            .setHops(attributes.hops() + 1);
    exchange.headers().forEach(h -> request.addHeaders(field(h.getKey(), h.getValue())));
    return link.get().relay(request.build(), remainingMs).thenApply(RequestPath::fromRelay);
  }

  private static HeaderField field(String name, String value) {
    return HeaderField.newBuilder().setName(name).setValue(value).build();
  }

  private static HttpAnswer fromRelay(RelayAnswer relayed) {
    ResultCode code =
        ResultCode.ofNumber(relayed.getResultCode()).orElse(ResultCode.INTERNAL_ERROR);
    if (code != ResultCode.OK) {
      throw new ResultCodeException(code, relayed.getMessage());
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    relayed.getHeadersList().forEach(h -> headers.add(h.getName(), h.getValue()));
    return new HttpAnswer(relayed.getStatus(), headers, relayed.getBody().toByteArray());
  }

  /** Serves a request that another entry VM relayed. */
  public CompletableFuture<RelayAnswer> serveRelayed(
      RelayRequest request, RequestClassifier classifier) {
    HttpHeaders headers = new DefaultHttpHeaders();
    request.getHeadersList().forEach(h -> headers.add(h.getName(), h.getValue()));
    HttpExchange exchange =
        new HttpExchange(
            HttpMethod.valueOf(request.getMethod()),
            request.getUri(),
            headers,
            request.getBody().toByteArray());
    long deadlineMs = clock.nowMs() + request.getRemainingMs();
    RequestAttributes attributes = classifier.classify(exchange, deadlineMs, request.getHops());
    if (stopping) {
      return CompletableFuture.completedFuture(
          toRelay(failureOf(ResultCode.STOPPING, "this VM is stopping")));
    }
    inFlight.incrementAndGet();
    return attempt(exchange, attributes, 1)
        .handle((answer, failure) -> failure == null ? toRelay(answer) : toRelay(failure))
        .whenComplete((answer, failure) -> inFlight.decrementAndGet());
  }

  private static RelayAnswer toRelay(HttpAnswer answer) {
    RelayAnswer.Builder relayed =
        RelayAnswer.newBuilder()
            .setStatus(answer.status())
            .setBody(ByteString.copyFrom(answer.body()))
            .setResultCode(ResultCode.OK.number());
    answer.headers().forEach(h -> relayed.addHeaders(field(h.getKey(), h.getValue())));
    return relayed.build();
  }

  private static RelayAnswer toRelay(Throwable failure) {
    ResultCode code = ResultCodeException.codeOf(failure);
    return RelayAnswer.newBuilder()
        .setStatus(code.httpStatus())
        .setResultCode(code.number())
        .setMessage(messageOf(failure))
        .build();
  }

  private static ResultCodeException failureOf(ResultCode code, String message) {
    return new ResultCodeException(code, message);
  }

  private static CompletableFuture<HttpAnswer> failed(ResultCode code, String message) {
    return CompletableFuture.failedFuture(failureOf(code, message));
  }
}
