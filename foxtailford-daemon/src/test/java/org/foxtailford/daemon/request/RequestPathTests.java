package org.foxtailford.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.admission.ByteBudget;
import org.foxtailford.core.admission.PriorityThreshold;
import org.foxtailford.core.coldstart.ColdGate;
import org.foxtailford.core.coldstart.ColdStartAdmission;
import org.foxtailford.core.coldstart.ColdStartLimits;
import org.foxtailford.core.coldstart.GateLease;
import org.foxtailford.core.coldstart.UnguardedAdmission;
import org.foxtailford.core.coldstart.VmIncarnation;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.result.RetryLaterException;
import org.foxtailford.core.retry.RetryAfter;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.time.FakeMillisClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests admission, retries, hedges, queues and relays of requests with a manual clock. */
public class RequestPathTests {

  /** Overdue threshold before latencies are known, in milliseconds. */
  private static final long INITIAL_OVERDUE_MS = 200;

  private final List<SentAttempt> sent = new ArrayList<>();
  private FakeMillisClock clock;
  private ManualTaskScheduler scheduler;
  private SimpleMeterRegistry registry;
  private ColdStartAdmission admission;
  private AttemptGuard guard;
  private RequestPath path;
  private RequestClassifier classifier;

  private record SentAttempt(int port, long timeoutMs, CompletableFuture<HttpAnswer> answer) {

    void succeed() {
      answer.complete(HttpAnswer.text(200, "text/plain", "from " + port));
    }

    void fail(ResultCode code) {
      answer.completeExceptionally(new ResultCodeException(code, code.name()));
    }
  }

  @BeforeMethod
  public void setUp() {
    sent.clear();
    clock = new FakeMillisClock();
    clock.advance(1000);
    scheduler = new ManualTaskScheduler(clock);
    registry = new SimpleMeterRegistry();
    classifier = new RequestClassifier(1000);
    admission = new UnguardedAdmission();
    guard = (request, attributes, idempotent, upstream, attempt) -> attempt.get();
    path = newPath(2, 100);
  }

  private RequestPath newPath(int upstreams, long maxBodyBytes) {
    RouterMetrics metrics = new RouterMetrics(registry);
    ServiceLoads loads = new ServiceLoads(() -> 1);
    RetryBudget budget = new RetryBudget(0.1, 0, 5, 0);
    RoutingSnapshot snapshot = RoutingSnapshot.initial("a").withConfiguration(view(upstreams));
    RequestExecutor executor =
        new RequestExecutor(
            new RequestRouter(new TwoChoicesChooser(new Random(1)), loads),
            () -> snapshot,
            loads,
            new GuardedSender(guard, new UpstreamSender(this::send)),
            new RelaySender(home -> Optional.empty(), metrics, clock),
            new RetryPolicy(3, 2, budget),
            budget,
            metrics,
            clock,
            scheduler,
            admission,
            new QueueLimits(4, 100));
    return new RequestPath(
        executor,
        () -> snapshot,
        new PriorityThreshold(100),
        new ByteBudget(maxBodyBytes),
        new RetryAfter(new Random(1)),
        metrics,
        clock);
  }

  private static ConfigurationView view(int upstreams) {
    ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
    document.addServices(
        ServiceDefinition.newBuilder()
            .setName("pantry")
            .setSelector("data-centre=a")
            .setSlotsPerUpstream(1)
            .addKinds(RequestKind.newBuilder().setName("check").setIdempotent(true).setWorth(50))
            .addKinds(RequestKind.newBuilder().setName("pledge").setWorth(90)));
    VmList.Builder vms = VmList.newBuilder();
    for (int i = 1; i <= upstreams; i++) {
      vms.addVms(
          VmEntry.newBuilder()
              .setName("u" + i)
              .setDataCentre("a")
              .setRole(VmRole.VM_ROLE_UPSTREAM)
              .setState(VmState.VM_STATE_LIVE)
              .setAddress(Endpoint.newBuilder().setHost("127.0.0.1").setPort(i)));
    }
    return ConfigurationView.of(1, document.build(), vms.build());
  }

  private CompletableFuture<HttpAnswer> send(
      Endpoint endpoint, HttpExchange exchange, OptionalLong bootId, long timeoutMs) {
    SentAttempt attempt = new SentAttempt(endpoint.getPort(), timeoutMs, new CompletableFuture<>());
    sent.add(attempt);
    return attempt.answer();
  }

  private CompletableFuture<HttpAnswer> request(String kind, int bodyBytes) {
    HttpExchange exchange =
        new HttpExchange(
            HttpMethod.POST,
            "/pantry/" + kind,
            new DefaultHttpHeaders().set(FoxtailHeaders.REQUEST_ID, "id-1"),
            new byte[bodyBytes]);
    return path.serve(exchange, classifier.classify(exchange, clock.nowMs()));
  }

  private static String code(CompletableFuture<HttpAnswer> answer) {
    return answer.join().headers().get(FoxtailHeaders.CODE);
  }

  private static String number(ResultCode code) {
    return Integer.toString(code.number());
  }

  @Test
  public void rejectedAttemptIsRetriedAtAnotherUpstream() {
    CompletableFuture<HttpAnswer> answer = request("pledge", 0);
    sent.get(0).fail(ResultCode.UPSTREAM_SHED);
    assertThat(sent).hasSize(2);
    assertThat(sent.get(1).port()).isNotEqualTo(sent.get(0).port());
    sent.get(1).succeed();
    assertThat(code(answer)).isEqualTo(number(ResultCode.OK));
    assertThat(registry.counter("foxtailford.retries", "reason", "UPSTREAM_SHED").count())
        .isEqualTo(1);
  }

  @Test
  public void requestIsAnsweredImmediatelyWithRetryAfterWhenNoRetryIsLeft() {
    CompletableFuture<HttpAnswer> answer = request("pledge", 0);
    sent.get(0).fail(ResultCode.UPSTREAM_SHED);
    sent.get(1).fail(ResultCode.UPSTREAM_SHED);
    assertThat(answer).isDone();
    assertThat(code(answer)).isEqualTo(number(ResultCode.UPSTREAM_SHED));
    assertThat(answer.join().headers().getInt(FoxtailHeaders.RETRY_AFTER_MS)).isPositive();
    assertThat(answer.join().headers().getInt("Retry-After")).isPositive();
  }

  @Test
  public void nonIdempotentRequestWithUnknownOutcomeIsNotRetried() {
    CompletableFuture<HttpAnswer> answer = request("pledge", 0);
    sent.get(0).fail(ResultCode.OUTCOME_UNKNOWN);
    assertThat(sent).hasSize(1);
    assertThat(code(answer)).isEqualTo(number(ResultCode.OUTCOME_UNKNOWN));
    assertThat(answer.join().headers().contains("Retry-After")).isFalse();
  }

  @Test
  public void laterRejectionDoesNotReplaceUnknownOutcome() {
    CompletableFuture<HttpAnswer> answer = request("check", 0);
    sent.get(0).fail(ResultCode.OUTCOME_UNKNOWN);
    sent.get(1).fail(ResultCode.UPSTREAM_SHED);
    assertThat(code(answer)).isEqualTo(number(ResultCode.OUTCOME_UNKNOWN));
  }

  @Test
  public void overdueIdempotentRequestIsHedgedAndSlowerAttemptCancelled() {
    CompletableFuture<HttpAnswer> answer = request("check", 0);
    scheduler.advance(INITIAL_OVERDUE_MS);
    assertThat(sent).hasSize(2);
    assertThat(sent.get(1).timeoutMs()).isEqualTo(800);
    sent.get(1).succeed();
    assertThat(answer.join().bodyText()).isEqualTo("from " + sent.get(1).port());
    assertThat(sent.get(0).answer()).isCancelled();
  }

  @Test
  public void nonIdempotentRequestIsNeverHedged() {
    request("pledge", 0);
    scheduler.advance(INITIAL_OVERDUE_MS * 2);
    assertThat(sent).hasSize(1);
  }

  @Test
  public void queuedRequestIsSentWithReducedTimeout() {
    request("check", 0);
    request("check", 0);
    CompletableFuture<HttpAnswer> waiting = request("check", 0);
    assertThat(sent).hasSize(2);
    scheduler.advance(5);
    sent.get(0).succeed();
    assertThat(sent).hasSize(3);
    assertThat(sent.get(2).timeoutMs()).isEqualTo(995);
    sent.get(2).succeed();
    assertThat(code(waiting)).isEqualTo(number(ResultCode.OK));
  }

  @Test
  public void queuedRequestIsRejectedAfterMaxWait() {
    request("pledge", 0);
    request("pledge", 0);
    CompletableFuture<HttpAnswer> waiting = request("check", 0);
    scheduler.advance(99);
    assertThat(waiting).isNotDone();
    scheduler.advance(10);
    assertThat(code(waiting)).isEqualTo(number(ResultCode.OVERLOADED));
    assertThat(registry.counter("foxtailford.limited", "reason", "QUEUE_TIME").count())
        .isEqualTo(1);
  }

  @Test
  public void cancelledRequestCancelsItsAttempt() {
    CompletableFuture<HttpAnswer> answer = request("check", 0);
    answer.cancel(false);
    assertThat(sent.get(0).answer()).isCancelled();
    assertThat(path.inFlight()).isZero();
  }

  @Test
  public void cancelledRequestIsRemovedFromQueue() {
    request("check", 0);
    request("check", 0);
    request("check", 0).cancel(false);
    sent.get(0).succeed();
    assertThat(sent).hasSize(2);
  }

  @Test
  public void drainingUpstreamReceivesNoNewRequests() {
    path = newPath(1, 100);
    request("check", 0);
    sent.get(0).fail(ResultCode.NO_UPSTREAM);
    CompletableFuture<HttpAnswer> next = request("check", 0);
    assertThat(sent).hasSize(1);
    assertThat(code(next)).isEqualTo(number(ResultCode.NO_UPSTREAM));
  }

  @Test
  public void totalSizeOfBodiesInFlightIsLimited() {
    CompletableFuture<HttpAnswer> first = request("check", 60);
    assertThat(code(request("check", 60))).isEqualTo(number(ResultCode.OVERLOADED));
    sent.get(0).succeed();
    assertThat(first).isDone();
    request("check", 60);
    assertThat(sent).hasSize(2);
  }

  @Test
  public void shutdownAddsConnectionCloseToAnswers() {
    CallerHandler handler = new CallerHandler(path, classifier, new RouterMetrics(registry), clock);
    HttpExchange exchange =
        new HttpExchange(HttpMethod.GET, "/pantry/check", new DefaultHttpHeaders(), new byte[0]);
    CompletableFuture<HttpAnswer> before = handler.handle(exchange);
    sent.get(0).succeed();
    assertThat(before.join().headers().contains("Connection")).isFalse();
    handler.requestConnectionClose();
    CompletableFuture<HttpAnswer> after = handler.handle(exchange);
    sent.get(1).succeed();
    assertThat(after.join().headers().get("Connection")).isEqualTo("close");
  }

  @Test
  public void coldUpstreamReceivesRequestsOnlyFromItsGateHolderWithShortTimeout() {
    ColdGate gate =
        new ColdGate(
            name -> Optional.of(new ColdStartLimits(1, 400, 50)), (upstream, bootId) -> {});
    gate.onConnected("u1", 7, clock.nowMs());
    gate.onConnected("u2", 8, clock.nowMs());
    admission = gate;
    path = newPath(2, 100);
    assertThat(code(request("check", 0))).isEqualTo(number(ResultCode.UPSTREAM_COLD));
    assertThat(sent).isEmpty();
    VmIncarnation self = new VmIncarnation("entry", 1);
    gate.onLease(new GateLease(self, Set.of("u2"), clock.nowMs(), 200));
    request("check", 0);
    assertThat(sent).hasSize(1);
    assertThat(sent.get(0).port()).isEqualTo(2);
    assertThat(sent.get(0).timeoutMs()).isEqualTo(50);
  }

  private static CompletableFuture<HttpAnswer> requestInProgress(long ms) {
    return CompletableFuture.failedFuture(
        new RetryLaterException(ResultCode.REQUEST_IN_PROGRESS, "running", ms));
  }

  @Test
  public void retryAfterOfFailureIsReturnedToCaller() {
    guard = (request, attributes, idempotent, upstream, attempt) -> requestInProgress(1137);
    path = newPath(2, 100);
    CompletableFuture<HttpAnswer> answer = request("pledge", 0);
    assertThat(code(answer)).isEqualTo(number(ResultCode.REQUEST_IN_PROGRESS));
    assertThat(answer.join().headers().get(FoxtailHeaders.RETRY_AFTER_MS)).isEqualTo("1137");
    assertThat(answer.join().headers().get("Retry-After")).isEqualTo("2");
  }

  @Test
  public void relayedFailureKeepsItsRetryAfter() {
    guard = (request, attributes, idempotent, upstream, attempt) -> requestInProgress(137);
    path = newPath(2, 100);
    RelayRequest relayed =
        RelayRequest.newBuilder()
            .setMethod("GET")
            .setUri("/pantry/check")
            .setRemainingMs(1000)
            .setHops(1)
            .build();
    RelayAnswer answer = path.serveRelayed(relayed, classifier).join();
    assertThat(answer.getRetryAfterMs()).isEqualTo(137);
    RelaySender sender =
        new RelaySender(
            home -> Optional.of((message, ms) -> CompletableFuture.completedFuture(answer)),
            new RouterMetrics(registry),
            clock);
    HttpExchange exchange = RelaySender.toExchange(relayed);
    CompletableFuture<HttpAnswer> received =
        sender.relay(exchange, classifier.classify(exchange, clock.nowMs()), "b");
    assertThat(received.handle((value, failure) -> RetryLaterException.findRetryAfterMs(failure)))
        .isCompletedWithValue(Optional.of(137L));
  }
}
