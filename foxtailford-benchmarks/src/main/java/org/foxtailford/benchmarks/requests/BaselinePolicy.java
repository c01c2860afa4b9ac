package org.foxtailford.benchmarks.requests;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.net.http.HttpAnswer;

/** A choice by one rule alone, with one retry of a refused request and without a budget. */
final class BaselinePolicy implements RequestPolicy {

  private static final int MAX_ATTEMPTS = 2;

  private final PolicyKind kind;
  private final ModelFleet fleet;
  private final int entryVm;
  private final Random random;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private int turn;

  BaselinePolicy(PolicyKind kind, ModelFleet fleet, int entryVm, Random random) {
    this.kind = kind;
    this.fleet = fleet;
    this.entryVm = entryVm;
    this.random = random;
    this.turn = random.nextInt(1000);
  }

  @Override
  public CompletableFuture<Boolean> serve(CustomerSize.Pool pool) {
    CompletableFuture<Boolean> served = new CompletableFuture<>();
    attempt(pool, 1, served);
    return served;
  }

  private void attempt(CustomerSize.Pool pool, int number, CompletableFuture<Boolean> served) {
    String name = choose(fleet.namesOf(pool));
    inFlight.merge(name, 1, Integer::sum);
    CompletableFuture<HttpAnswer> sent = fleet.send(name, entryVm);
    sent.whenComplete(
        (answer, failure) -> {
          inFlight.merge(name, -1, Integer::sum);
          if (failure != null && number < MAX_ATTEMPTS) {
            attempt(pool, number + 1, served);
          } else {
            served.complete(failure == null);
          }
        });
  }

  private String choose(List<String> names) {
    switch (kind) {
      case RANDOM:
        return names.get(random.nextInt(names.size()));
      case ROUND_ROBIN:
        return names.get(turn++ % names.size());
      default:
        return least(names);
    }
  }

  private String least(List<String> names) {
    int first = random.nextInt(names.size());
    String best = names.get(first);
    for (int i = 1; i < names.size(); i++) {
      String name = names.get((first + i) % names.size());
      if (inFlight.getOrDefault(name, 0) < inFlight.getOrDefault(best, 0)) {
        best = name;
      }
    }
    return best;
  }
}
