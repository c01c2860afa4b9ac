package org.foxtailford.benchmarks.requests;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.admission.ByteBudget;
import org.foxtailford.core.admission.PriorityThreshold;
import org.foxtailford.core.coldstart.UnguardedAdmission;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.retry.RetryAfter;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.daemon.request.GuardedSender;
import org.foxtailford.daemon.request.QueueLimits;
import org.foxtailford.daemon.request.RelaySender;
import org.foxtailford.daemon.request.RequestClassifier;
import org.foxtailford.daemon.request.RequestExecutor;
import org.foxtailford.daemon.request.RequestPath;
import org.foxtailford.daemon.request.UpstreamSender;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpExchange;

/** The daemon's own request path on modelled upstreams. */
final class RequestPathPolicy implements RequestPolicy {

  private static final long TIMEOUT_MS = 1000;
  private static final int MAX_IN_FLIGHT = 4096;
  private static final long MAX_BODY_BYTES = 1 << 20;
  private static final int QUEUE_CAPACITY = 256;
  private static final long QUEUE_TIME_MS = 200;
  private static final int MAX_ATTEMPTS = 3;
  private static final long MIN_REMAINING_MS = 2;
  private static final double BUDGET_SHARE = 0.04;
  private static final double BUDGET_PER_SECOND = 1;
  private static final double BUDGET_BURST = 20;

  private final RequestPath path;
  private final RequestClassifier classifier = new RequestClassifier(TIMEOUT_MS);
  private final EventQueue events;
  private long requestIds;

  RequestPathPolicy(
      CustomerSize size, ModelFleet fleet, int entryVm, EventQueue events, Random random) {
    this.events = events;
    String dataCentre = size.dataCentreOf(entryVm);
    RouterMetrics metrics = new RouterMetrics(new SimpleMeterRegistry());
    ServiceLoads loads = new ServiceLoads(() -> size.entryVms() / size.dataCentres());
    RetryBudget budget = new RetryBudget(BUDGET_SHARE, BUDGET_PER_SECOND, BUDGET_BURST, 0);
    RoutingSnapshot snapshot =
        RoutingSnapshot.initial(dataCentre).withConfiguration(fleet.configuration());
    RequestExecutor attempts =
        new RequestExecutor(
            new RequestRouter(new TwoChoicesChooser(random), loads),
            () -> snapshot,
            loads,
            new GuardedSender(
                (request, attributes, idempotent, upstream, attempt) -> attempt.get(),
                new UpstreamSender(
                    (endpoint, exchange, bootId, timeoutMs) ->
                        fleet.send(endpoint.getPort() - 1, entryVm))),
            new RelaySender(home -> Optional.empty(), metrics, events),
            new RetryPolicy(MAX_ATTEMPTS, MIN_REMAINING_MS, budget),
            budget,
            metrics,
            events,
            events,
            new UnguardedAdmission(),
            new QueueLimits(QUEUE_CAPACITY, QUEUE_TIME_MS));
    this.path =
        new RequestPath(
            attempts,
            () -> snapshot,
            new PriorityThreshold(MAX_IN_FLIGHT),
            new ByteBudget(MAX_BODY_BYTES),
            new RetryAfter(random),
            metrics,
            events);
  }

  @Override
  public CompletableFuture<Boolean> serve(CustomerSize.Pool pool) {
    HttpExchange exchange =
        new HttpExchange(
            HttpMethod.POST,
            "/" + pool.name() + "/" + ModelFleet.KIND,
            new DefaultHttpHeaders().set(FoxtailHeaders.REQUEST_ID, ++requestIds),
            new byte[0]);
    return path.serve(exchange, classifier.classify(exchange, events.nowMs()))
        .thenApply(answer -> answer.status() == 200);
  }
}
