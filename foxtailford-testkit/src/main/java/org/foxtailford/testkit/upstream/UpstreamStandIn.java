package org.foxtailford.testkit.upstream;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.UpstreamRefusal;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;

/** An upstream's HTTP interface: grants, health, load and requests. Thread-safe. */
public final class UpstreamStandIn implements HttpExchangeHandler {

  private static final String GRANT_PATH = "/control/grant";

  private final UpstreamProfile profile;
  private final String bootId;
  private final GrantHolder grants;
  private final MillisClock clock;
  private final RunTimer timer;
  private final long startedMs;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong runs = new AtomicLong();
  private final AtomicLong coldRefusals = new AtomicLong();
  private volatile boolean draining;

  /** Runs the ends of requests. */
  @FunctionalInterface
  public interface RunTimer {

    /** Runs an end after a time, in milliseconds. */
    void schedule(Runnable end, long delayMs);
  }

  /**
   * Creates an upstream that starts cold now.
   *
   * @param profile how it behaves
   * @param bootId number of this start
   * @param clock its clock
   * @param timer runs the ends of requests
   */
  public UpstreamStandIn(
      UpstreamProfile profile, long bootId, MillisClock clock, ScheduledExecutorService timer) {
    this(
        profile,
        bootId,
        clock,
        (end, delayMs) -> timer.schedule(end, delayMs, TimeUnit.MILLISECONDS));
  }

  /**
   * Creates an upstream that starts cold now.
   *
   * @param profile how it behaves
   * @param bootId number of this start
   * @param clock its clock
   * @param timer runs the ends of requests
   */
  public UpstreamStandIn(UpstreamProfile profile, long bootId, MillisClock clock, RunTimer timer) {
    this.profile = Assert.notNull(profile, "profile");
    this.clock = Assert.notNull(clock, "clock");
    this.timer = Assert.notNull(timer, "timer");
    this.bootId = Long.toUnsignedString(bootId);
    this.grants = new GrantHolder(bootId, clock);
    this.startedMs = clock.nowMs();
  }

  /** Returns the number of requests that ran. */
  public long runs() {
    return runs.get();
  }

  /** Returns the number of requests that came during the cold start and were more than it bears. */
  public long coldRefusals() {
    return coldRefusals.get();
  }

  /** Tells whether it is in its cold start. */
  public boolean isCold() {
    return clock.nowMs() - startedMs < profile.coldMs();
  }

  /** Starts or ends the refusal of new requests. */
  public void setDraining(boolean value) {
    draining = value;
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    return answer(exchange).thenApply(this::withBootId);
  }

  private HttpAnswer withBootId(HttpAnswer answer) {
    answer.headers().set(FoxtailHeaders.BOOT_ID, bootId);
    return answer;
  }

  private CompletableFuture<HttpAnswer> answer(HttpExchange exchange) {
    switch (exchange.path()) {
      case GRANT_PATH:
        return CompletableFuture.completedFuture(grant(exchange));
      case "/control/health":
        return CompletableFuture.completedFuture(
            HttpAnswer.json(200, "{\"draining\":" + draining + "}"));
      case "/control/load":
        return CompletableFuture.completedFuture(
            HttpAnswer.json(200, "{\"inFlight\":" + inFlight + "}"));
      default:
        return run(exchange);
    }
  }

  private HttpAnswer grant(HttpExchange exchange) {
    if (!exchange.method().equals(HttpMethod.PUT)) {
      return toAnswer(200, grants.status());
    }
    try {
      GrantRequest.Builder request = GrantRequest.newBuilder();
      JsonFormat.parser()
          .merge(new HttpAnswer(200, exchange.headers(), exchange.body()).bodyText(), request);
      GrantReply reply = grants.apply(request.build());
      return toAnswer(reply.getAccepted() ? 200 : 409, reply);
    } catch (InvalidProtocolBufferException e) {
      return refuse(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage()));
    }
  }

  private static HttpAnswer toAnswer(int status, GrantReply reply) {
    try {
      return HttpAnswer.json(status, JsonFormat.printer().print(reply));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private CompletableFuture<HttpAnswer> run(HttpExchange exchange) {
    Optional<UpstreamRefusal> refusal = admit(exchange);
    if (refusal.isPresent()) {
      return CompletableFuture.completedFuture(refused(exchange, refusal.get()));
    }
    long run = runs.incrementAndGet();
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    timer.schedule(
        () -> {
          inFlight.decrementAndGet();
          answer.complete(ran(exchange, run));
        },
        profile.serviceTimeMs());
    return answer;
  }

  private Optional<UpstreamRefusal> admit(HttpExchange exchange) {
    if (draining) {
      return Optional.of(UpstreamRefusal.DRAINING);
    }
    if (!owns(exchange)) {
      return Optional.of(UpstreamRefusal.NOT_OWNER);
    }
    boolean cold = isCold();
    int slots = cold ? profile.coldSlots() : profile.slots();
    if (inFlight.incrementAndGet() > slots) {
      inFlight.decrementAndGet();
      coldRefusals.addAndGet(cold ? 1 : 0);
      return Optional.of(cold ? UpstreamRefusal.COLD : UpstreamRefusal.NO_SLOT);
    }
    return Optional.empty();
  }

  private boolean owns(HttpExchange exchange) {
    String hash = exchange.headers().get(FoxtailHeaders.KEY_HASH);
    String fence = exchange.headers().get(FoxtailHeaders.FENCE);
    if (!profile.checksFences() || hash == null) {
      return true;
    }
    String service = exchange.path().split("/")[1];
    Optional<Fence> owned = grants.ownedFence(service, Long.parseUnsignedLong(hash, 16));
    return fence != null && owned.isPresent() && owned.get().equals(Fence.parse(fence));
  }

  private HttpAnswer refused(HttpExchange exchange, UpstreamRefusal reason) {
    HttpAnswer answer = HttpAnswer.text(503, "text/plain", reason.headerValue());
    answer.headers().set(FoxtailHeaders.REFUSED, reason.headerValue());
    return echo(exchange, answer);
  }

  private HttpAnswer ran(HttpExchange exchange, long run) {
    String body =
        String.format(
            "{\"upstream\":\"%s\",\"path\":\"%s\",\"run\":%d}%n",
            profile.name(), exchange.path(), run);
    return echo(exchange, HttpAnswer.json(200, body));
  }

  private static HttpAnswer echo(HttpExchange exchange, HttpAnswer answer) {
    HttpHeaders headers = answer.headers();
    String attempt = exchange.headers().get(FoxtailHeaders.ATTEMPT);
    if (attempt != null) {
      headers.set(FoxtailHeaders.ATTEMPT, attempt);
    }
    return answer;
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return HttpAnswer.text(code.httpStatus(), "text/plain", message);
  }
}
