package org.foxtailford.testkit.simulation;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.foxtailford.core.ownership.KeyHashing;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.util.Assert;
import org.foxtailford.testkit.scenario.ScenarioLoad;
import org.foxtailford.testkit.simulation.RequestLedger.Sent;

/** Callers that send requests through random entry VMs. */
final class SimulatedCallers {

  private static final int KEYS = 200;
  private static final long REQUEST_TIMEOUT_MS = 1000;

  private final OwnershipSystem system;
  private final RandomGenerator random;
  private final Trace trace;
  private final RequestLedger ledger;

  SimulatedCallers(
      OwnershipSystem system, RandomGenerator random, RequestLedger ledger, Trace trace) {
    this.system = Assert.notNull(system, "system");
    this.random = Assert.notNull(random, "random");
    this.ledger = Assert.notNull(ledger, "ledger");
    this.trace = Assert.notNull(trace, "trace");
    system.candidates().forEach(c -> c.serve(ledger, random));
  }

  /** Sends a load from now until the given true time. */
  void send(ScenarioLoad load, long fromMs, long untilMs) {
    long intervalMs = Math.max(1, 1000 / load.perSecond());
    for (long atMs = fromMs; atMs < untilMs; atMs += intervalMs) {
      system.queue().schedule(atMs - system.queue().nowMs(), () -> sendOne(load.idempotent()));
    }
  }

  private void sendOne(boolean idempotent) {
    String key = "key-" + random.nextInt(KEYS);
    List<SimulatedCandidate> entries =
        system.candidates().stream().filter(SimulatedNode::running).toList();
    if (entries.isEmpty()) {
      return;
    }
    SimulatedCandidate entry = entries.get(random.nextInt(entries.size()));
    Sent request = newRequest(entry, key, idempotent);
    ledger.add(request);
    entry.execute(() -> run(entry, key, request));
  }

  private Sent newRequest(SimulatedCandidate entry, String key, boolean idempotent) {
    String id = "request-" + ledger.size();
    long keyHash = KeyHashing.hash(key);
    boolean home = system.presentHome(keyHash).filter(entry.dataCentre()::equals).isPresent();
    return new Sent(id, idempotent, entry.dataCentre(), home, system.queue().nowMs());
  }

  private void run(SimulatedCandidate entry, String key, Sent request) {
    RequestAttributes attributes =
        new RequestAttributes(
            OwnershipSystem.SERVICE,
            request.idempotent()
                ? SimulatedServices.IDEMPOTENT_KIND
                : SimulatedServices.NON_IDEMPOTENT_KIND,
            Optional.of(key),
            Optional.of(request.id()),
            entry.nowMs() + REQUEST_TIMEOUT_MS,
            0);
    entry.path().run(attributes, request.idempotent()).thenAccept(code -> finish(request, code));
  }

  private void finish(Sent request, ResultCode code) {
    request.finish(code);
    if (code != ResultCode.OK) {
      trace.add(system.queue().nowMs(), "%s ends with %s", request.id(), code);
    }
  }
}
