package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.foxtailford.core.cost.CompletionChooser;
import org.foxtailford.core.cost.CostDistribution;
import org.foxtailford.core.cost.CostModel;
import org.foxtailford.core.cost.RequestClass;
import org.foxtailford.core.cost.ServiceLoadAverage;
import org.foxtailford.core.cost.UpstreamBacklog;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.LoadReport;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;

/**
 * Expected costs of requests and remaining work of upstreams, as this VM has learned them. Knows
 * nothing while the setting {@code costAware} is off, so that the averages of services are used.
 * Confined to the event loop.
 */
public final class ExpectedCosts {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int KEYS_PER_RANGE = KeyRange.KEYS / RequestClass.KEY_RANGES;

  private final boolean enabled;
  private final RequestMetrics metrics;
  private final MillisClock clock;
  private final CompletionChooser chooser;
  private final CostModel model = new CostModel();
  private final Map<String, ServiceLoadAverage> averages = new HashMap<>();
  private final Set<String> knownServices = new HashSet<>();

  /**
   * Creates costs of which nothing is known yet.
   *
   * @param enabled whether costs are learned and used
   * @param random source of numbers from 0 to 1
   */
  public ExpectedCosts(
      boolean enabled, RequestMetrics metrics, MillisClock clock, DoubleSupplier random) {
    this.enabled = enabled;
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
    this.chooser = new CompletionChooser(random);
  }

  private UpstreamBacklog backlog(UpstreamHandle upstream) {
    return upstream.backlog(
        averages.computeIfAbsent(upstream.entry().service(), name -> new ServiceLoadAverage()));
  }

  /** Returns what is known of a request's cost; the same for as long as the request lasts. */
  private Optional<RequestCost> find(RequestCall call) {
    if (!enabled || call.cost().isPresent()) {
      return call.cost();
    }
    RequestClass requestClass = classOf(call);
    long nowMs = clock.nowMs();
    Optional<CostDistribution> typical =
        model.find(RequestClass.ofService(requestClass.service()), nowMs);
    Optional<RequestCost> cost =
        typical.flatMap(
            known ->
                model
                    .find(requestClass, nowMs)
                    .map(expected -> new RequestCost(requestClass, expected, known)));
    cost.ifPresent(call::setCost);
    return cost;
  }

  private static RequestClass classOf(RequestCall call) {
    int keyRange =
        call.key().isPresent() ? call.key().getAsInt() / KEYS_PER_RANGE : RequestClass.ANY;
    int bodyBytes = call.exchange().headers().getInt(HttpHeaderNames.CONTENT_LENGTH, 0);
    return RequestClass.of(call.service().name(), call.route().name(), keyRange, bodyBytes, "");
  }

  /** Returns whether the cost of a request is known well enough to choose by it. */
  boolean isKnown(RequestCall call) {
    return find(call).isPresent();
  }

  /** Returns the expected cost of a request; 1 is the average of its service, or not known. */
  double relativeCost(RequestCall call) {
    return find(call).map(RequestCost::relative).orElse(1.0);
  }

  /** Returns the expected service time of a request at an average upstream, in milliseconds. */
  OptionalDouble expectedMs(RequestCall call) {
    Optional<RequestCost> cost = find(call);
    return cost.isPresent()
        ? OptionalDouble.of(cost.get().expected().meanMs())
        : OptionalDouble.empty();
  }

  /** Returns the expected time of an average request at an upstream, in milliseconds. */
  OptionalDouble workMs(UpstreamHandle upstream) {
    if (!enabled) {
      return OptionalDouble.empty();
    }
    long nowMs = clock.nowMs();
    Optional<CostDistribution> typical =
        model.find(RequestClass.ofService(upstream.entry().service()), nowMs);
    UpstreamBacklog backlog = backlog(upstream);
    return typical.isPresent()
        ? OptionalDouble.of(typical.get().meanMs() / backlog.presentSpeed(nowMs))
        : OptionalDouble.empty();
  }

  /**
   * Chooses an upstream for a request whose cost is known; empty if none has room.
   *
   * @param penaltyMs cost of using an upstream in addition to its time, in milliseconds
   * @param averageMs average time of the service's answers, in milliseconds
   */
  Optional<UpstreamEntry> choose(
      RequestCall call,
      List<UpstreamEntry> candidates,
      UpstreamRegistry registry,
      Predicate<UpstreamEntry> hasRoom,
      Function<UpstreamEntry, Double> penaltyMs,
      double averageMs) {
    RequestCost cost = find(call).orElseThrow();
    long nowMs = clock.nowMs();
    return chooser.choose(
        candidates,
        entry -> backlog(registry.getOrCreate(entry)),
        entry -> !registry.getOrCreate(entry).load().isSuspended(nowMs) && hasRoom.test(entry),
        entry ->
            penaltyMs.apply(entry) + registry.getOrCreate(entry).load().penaltyMs(averageMs, nowMs),
        new CompletionChooser.Expected(
            cost.expected(), cost.typical(), call.terms().targetAtMs() - nowMs),
        nowMs);
  }

  /** Records that a request is sent to an upstream. */
  void recordSend(RequestCall call, UpstreamHandle upstream, UpstreamAttempt attempt) {
    find(call)
        .ifPresent(cost -> backlog(upstream).recordSend(attempt, cost.expected(), clock.nowMs()));
  }

  /** Records the end of an attempt at an upstream, successful or not. */
  void recordEnd(UpstreamHandle upstream, UpstreamAttempt attempt) {
    if (enabled) {
      backlog(upstream).recordEnd(attempt);
    }
  }

  /** Records a load report of an upstream. */
  void recordReport(UpstreamHandle upstream, LoadReport report) {
    if (enabled) {
      backlog(upstream)
          .recordReport(
              report.running() + report.waiting(),
              report.slots(),
              report.slowness(),
              clock.nowMs());
    }
  }

  /**
   * Records the time of an answer. It is a measure of the cost only if the upstream had a free slot
   * at its end, since the request may have waited there otherwise.
   *
   * @param report load report of the answer
   */
  void recordAnswer(
      RequestCall call, UpstreamHandle upstream, double tookMs, Optional<LoadReport> report) {
    if (!enabled || report.isEmpty()) {
      return;
    }
    LoadReport load = report.get();
    UpstreamBacklog backlog = backlog(upstream);
    double standardMs = tookMs / load.slowness();
    double costMs = standardMs * backlog.speed();
    boolean free = load.running() + load.waiting() < load.slots();
    if (free) {
      RequestClass requestClass =
          call.cost().map(RequestCost::requestClass).orElseGet(() -> classOf(call));
      model.add(requestClass, costMs, clock.nowMs());
    }
    if (call.cost().isPresent()) {
      RequestCost cost = call.cost().get();
      double expectedMs = cost.expected().meanMs();
      backlog.recordWork(standardMs, expectedMs, clock.nowMs());
      if (free) {
        metrics.recordCost(call.service().name(), expectedMs, costMs);
      }
      logFirst(call.service().name(), cost);
    }
  }

  private void logFirst(String service, RequestCost cost) {
    if (knownServices.add(service)) {
      logger
          .atInfo()
          .with(EventFields.SERVICE, service)
          .with(EventFields.TOOK_MS, Math.round(cost.typical().meanMs()))
          .log("cost of requests known");
    }
  }
}
