package org.foxtailford.testkit.simulation;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.slice.KeyHashing;
import org.foxtailford.core.util.Assert;
import org.foxtailford.testkit.scenario.ScenarioLoad;
import org.foxtailford.testkit.simulation.RequestLedger.Sent;

/** Callers that send requests through random entry VMs. */
final class SimulatedCallers {

  private static final int KEYS = 200;
  private static final long REQUEST_TIMEOUT_MS = 1000;
  private static final long POISON_INTERVAL_MS = 400;
  private static final long AGAIN_MS = 300;
  private static final int MAX_SENDS = 8;
  private static final Set<ResultCode> FINAL =
      EnumSet.of(ResultCode.OK, ResultCode.ANSWER_NOT_KEPT, ResultCode.POISON_REQUEST);

  private final OwnershipSystem system;
  private final RandomGenerator random;
  private final Trace trace;
  private final RequestLedger ledger;

  /** A request of one caller. */
  private record Order(Sent sent, Optional<String> key, boolean sentAgain, boolean poison) {}

  SimulatedCallers(
      OwnershipSystem system, RandomGenerator random, RequestLedger ledger, Trace trace) {
    this.system = Assert.notNull(system, "system");
    this.random = Assert.notNull(random, "random");
    this.ledger = Assert.notNull(ledger, "ledger");
    this.trace = Assert.notNull(trace, "trace");
    system.candidates().forEach(c -> c.serve(ledger, random));
    system.upstreams().forEach(u -> u.setWork(new SimulatedWork(u, system, ledger, random)));
  }

  /** Sends a load from now until the given true time. */
  void send(ScenarioLoad load, long fromMs, long untilMs) {
    long intervalMs = Math.max(1, 1000 / load.perSecond());
    for (long atMs = fromMs; atMs < untilMs; atMs += intervalMs) {
      system.queue().schedule(atMs - system.queue().nowMs(), () -> sendOne(load));
    }
  }

  private void sendOne(ScenarioLoad load) {
    Optional<String> key =
        load.keyed() ? Optional.of("key-" + random.nextInt(KEYS)) : Optional.empty();
    chooseEntry(Optional.empty())
        .ifPresent(
            entry -> {
              Sent sent = newRequest(entry, key, load.idempotent());
              transmit(new Order(sent, key, load.sentAgain(), false), entry, 1);
            });
  }

  /** Sends a request that crashes upstreams, again and again until the given true time. */
  void sendPoison(long fromMs, long untilMs) {
    for (long atMs = fromMs; atMs < untilMs; atMs += POISON_INTERVAL_MS) {
      system.queue().schedule(atMs - system.queue().nowMs(), this::sendPoisonOnce);
    }
  }

  private void sendPoisonOnce() {
    chooseEntry(Optional.empty())
        .ifPresent(
            entry -> {
              Sent sent = newRequest(entry, Optional.empty(), true);
              transmit(new Order(sent, Optional.empty(), false, true), entry, 1);
            });
  }

  private Optional<SimulatedCandidate> chooseEntry(Optional<SimulatedCandidate> last) {
    List<SimulatedCandidate> entries =
        system.candidates().stream()
            .filter(SimulatedNode::running)
            .filter(entry -> last.filter(entry::equals).isEmpty())
            .toList();
    return entries.isEmpty()
        ? Optional.empty()
        : Optional.of(entries.get(random.nextInt(entries.size())));
  }

  private Sent newRequest(SimulatedCandidate entry, Optional<String> key, boolean idempotent) {
    String id = "request-" + ledger.size();
    boolean home =
        key.map(KeyHashing::hash)
            .flatMap(system::presentHome)
            .filter(entry.dataCentre()::equals)
            .isPresent();
    Sent sent = new Sent(id, idempotent, entry.dataCentre(), home, system.queue().nowMs());
    ledger.add(sent);
    return sent;
  }

  private void transmit(Order order, SimulatedCandidate entry, int number) {
    entry.execute(() -> run(order, entry, number));
    if (order.sentAgain() && number < MAX_SENDS) {
      system.queue().schedule(AGAIN_MS, () -> sendAgain(order, entry, number + 1));
    }
  }

  private void sendAgain(Order order, SimulatedCandidate last, int number) {
    if (!order.sent().settled()) {
      chooseEntry(Optional.of(last)).ifPresent(entry -> transmit(order, entry, number));
    }
  }

  private void run(Order order, SimulatedCandidate entry, int number) {
    Sent sent = order.sent();
    RequestAttributes attributes =
        new RequestAttributes(
            order.key().isPresent() ? SimulatedServices.KEYED : SimulatedServices.UNKEYED,
            sent.idempotent()
                ? SimulatedServices.IDEMPOTENT_KIND
                : SimulatedServices.NON_IDEMPOTENT_KIND,
            order.key(),
            Optional.of(sent.id()),
            entry.nowMs() + REQUEST_TIMEOUT_MS,
            0);
    String content = order.poison() ? "poison" : sent.id();
    RequestTraits traits =
        new RequestTraits(content, sent.idempotent(), number == 1, order.poison());
    entry.path().run(attributes, traits).thenAccept(code -> finish(sent, number, code));
  }

  private void finish(Sent sent, int number, ResultCode code) {
    ResultCode told = system.variant().onResult(code);
    sent.finish(told, FINAL.contains(told), system.queue().nowMs());
    if (told != ResultCode.OK) {
      trace.add(system.queue().nowMs(), "%s, send %d: %s", sent.id(), number, told);
    }
  }
}
