package org.foxtailford.testkit.simulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.retry.FailedAttempt;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.retry.RetryVerdict;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.util.Assert;
import org.foxtailford.testkit.scenario.ScenarioLoad;

/** Callers that send keyed requests through random entry VMs, and what they were told. */
final class SimulatedCallers {

  private static final int KEYS = 200;
  private static final long REQUEST_TIMEOUT_MS = 1000;
  private static final int MAX_ATTEMPTS = 3;
  private static final double RETRY_SHARE = 0.2;

  private final OwnershipSystem system;
  private final RandomGenerator random;
  private final Trace trace;
  private final RequestRouter router;
  private final RetryBudget budget = new RetryBudget(RETRY_SHARE, 1, 20, 0);
  private final RetryPolicy policy = new RetryPolicy(MAX_ATTEMPTS, 2, budget);
  private final Map<String, Sent> sent = new LinkedHashMap<>();

  /** A request and its result, once there is one. */
  private static final class Sent {
    private final boolean idempotent;
    private Optional<ResultCode> result = Optional.empty();

    Sent(boolean idempotent) {
      this.idempotent = idempotent;
    }
  }

  SimulatedCallers(OwnershipSystem system, RandomGenerator random, Trace trace) {
    this.system = Assert.notNull(system, "system");
    this.random = Assert.notNull(random, "random");
    this.trace = Assert.notNull(trace, "trace");
    Random draws = new Random(random.nextLong());
    router = new RequestRouter(new TwoChoicesChooser(draws), new ServiceLoads(() -> 1));
  }

  /** Sends a load from now until the given true time. */
  void send(ScenarioLoad load, long fromMs, long untilMs) {
    long intervalMs = Math.max(1, 1000 / load.perSecond());
    for (long atMs = fromMs; atMs < untilMs; atMs += intervalMs) {
      system.queue().schedule(atMs - system.queue().nowMs(), () -> sendOne(load.idempotent()));
    }
  }

  private void sendOne(boolean idempotent) {
    String id = "request-" + sent.size();
    String key = "key-" + random.nextInt(KEYS);
    Sent request = new Sent(idempotent);
    sent.put(id, request);
    List<SimulatedCandidate> entries =
        system.candidates().stream().filter(SimulatedNode::running).toList();
    SimulatedCandidate entry = entries.get(random.nextInt(entries.size()));
    entry.execute(
        () -> {
          String kind =
              idempotent ? OwnershipSystem.IDEMPOTENT_KIND : OwnershipSystem.NON_IDEMPOTENT_KIND;
          RequestAttributes attributes =
              new RequestAttributes(
                  OwnershipSystem.SERVICE,
                  kind,
                  Optional.of(key),
                  Optional.of(id),
                  entry.nowMs() + REQUEST_TIMEOUT_MS,
                  0);
          attempt(entry, attributes, request, 1);
        });
  }

  private void attempt(
      SimulatedCandidate entry, RequestAttributes attributes, Sent request, int number) {
    RoutingSnapshot snapshot = snapshotOf(entry);
    RouteDecision decision = router.decide(attributes, snapshot, Set.of(), entry.nowMs());
    if (decision instanceof RouteDecision.Refuse) {
      finish(attributes, request, ((RouteDecision.Refuse) decision).code());
      return;
    }
    RouteDecision.ToOwner owner = (RouteDecision.ToOwner) decision;
    SimulatedUpstream upstream = system.upstream(owner.upstream().name());
    String id = attributes.requestId().orElseThrow();
    long remainingMs = attributes.deadlineMs() - entry.nowMs();
    int start = entry.starts();
    system
        .network()
        .callOnce(
            entry.name(),
            upstream,
            remainingMs,
            () -> upstream.run(id, OwnershipSystem.SERVICE, owner.keyHash(), owner.fence()))
        .whenComplete(
            (ran, failure) ->
                entry.execute(
                    () -> {
                      if (start == entry.starts()) {
                        onAnswer(entry, attributes, request, number, codeOf(ran, failure));
                      }
                    }));
  }

  private RoutingSnapshot snapshotOf(SimulatedCandidate entry) {
    HomeDirectory homes = system.homes();
    return RoutingSnapshot.initial(OwnershipSystem.DATA_CENTRE)
        .withConfiguration(system.configuration())
        .withHomes(homes)
        .withOwners(entry.owners());
  }

  private static ResultCode codeOf(Boolean ran, Throwable failure) {
    if (failure instanceof TimeoutException) {
      return ResultCode.ANSWER_TIMEOUT;
    }
    if (failure != null) {
      return ResultCode.OUTCOME_UNKNOWN;
    }
    return ran ? ResultCode.OK : ResultCode.OWNERSHIP_CHANGED;
  }

  private void onAnswer(
      SimulatedCandidate entry,
      RequestAttributes attributes,
      Sent request,
      int number,
      ResultCode code) {
    if (code == ResultCode.OK) {
      budget.succeeded();
      finish(attributes, request, code);
      return;
    }
    long remainingMs = attributes.deadlineMs() - entry.nowMs();
    FailedAttempt failed = new FailedAttempt(code, request.idempotent, true, number, remainingMs);
    if (policy.decide(failed, entry.nowMs()) == RetryVerdict.RETRY) {
      attempt(entry, attributes, request, number + 1);
    } else {
      finish(attributes, request, code);
    }
  }

  private void finish(RequestAttributes attributes, Sent request, ResultCode code) {
    request.result = Optional.of(code);
    if (code != ResultCode.OK) {
      trace.add(system.queue().nowMs(), "%s ends with %s", attributes.requestId().orElse(""), code);
    }
  }

  /** Returns the requests that are not idempotent and ran more than once. */
  List<String> doubleRuns() {
    return sent.entrySet().stream()
        .filter(entry -> !entry.getValue().idempotent && runs(entry.getKey()) > 1)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the requests that ran although their caller was told that they did not. */
  List<String> falseNotRun() {
    return sent.entrySet().stream()
        .filter(entry -> toldNotRun(entry.getValue()) && runs(entry.getKey()) > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  private static boolean toldNotRun(Sent request) {
    return request.result.filter(code -> code.effect() == Effect.NOT_RUN).isPresent();
  }

  private int runs(String id) {
    return system.upstreams().stream().mapToInt(upstream -> upstream.runs(id)).sum();
  }

  /** Returns the share of the requests that were answered, in percent. */
  double answeredPercent() {
    long answered =
        sent.values().stream().filter(r -> r.result.equals(Optional.of(ResultCode.OK))).count();
    return sent.isEmpty() ? 100 : 100.0 * answered / sent.size();
  }

  /** Returns the number of requests by result; {@code none} stands for no answer. */
  String summary() {
    Map<String, Integer> counts = new TreeMap<>();
    sent.values()
        .forEach(r -> counts.merge(r.result.map(Enum::name).orElse("none"), 1, Integer::sum));
    return counts.toString();
  }
}
