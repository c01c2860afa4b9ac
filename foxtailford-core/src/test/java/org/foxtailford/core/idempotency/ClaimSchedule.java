package org.foxtailford.core.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailford.core.idempotency.ClaimWorld.Mutant;
import org.foxtailford.core.idempotency.ClaimWorld.Node;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.KeptAnswer;

/**
 * Sends and retries requests at random times in a simulated cluster with random faults, and
 * compares the outcomes reported to callers with the runs counted at the upstream.
 */
final class ClaimSchedule {

  private static final int DURATION_MS = 25_000;
  private static final int REQUESTS = 150;
  private static final int MAX_SENDS = 4;
  private static final int MAX_RETRY_DELAY_MS = 1000;
  private static final int RUN_MS = 400;

  private final List<String> violations = new ArrayList<>();
  private int granted;
  private final ClaimWorld world;
  private final Random random;
  private final boolean faults;

  ClaimSchedule(long seed, Mutant mutant, boolean faults) {
    this.world = new ClaimWorld(seed, mutant, 2 + (int) (seed & 1), 2);
    this.random = world.random();
    this.faults = faults;
  }

  List<String> violations() {
    return violations;
  }

  int granted() {
    return granted;
  }

  ClaimSchedule run() {
    world.setLossRate(faults ? 0.05 : 0);
    world.loop().runUntil(1000);
    for (int i = 0; i < REQUESTS; i++) {
      Request request = new Request("id" + i);
      world.loop().after(random.nextInt(DURATION_MS), () -> request.send(MAX_SENDS));
    }
    if (faults) {
      for (int i = 0; i < 12; i++) {
        world.loop().after(random.nextInt(DURATION_MS), this::injectFault);
      }
    }
    world.loop().runUntil(DURATION_MS + 10_000);
    return this;
  }

  private void injectFault() {
    Node node = world.randomNode();
    long durationMs = 50 + random.nextInt(3000);
    switch (random.nextInt(5)) {
      case 0:
        node.moveToPartition(1 + random.nextInt(2));
        world.loop().after(durationMs, () -> node.moveToPartition(0));
        break;
      case 1:
        node.pause(durationMs);
        break;
      case 2:
        world.setTableReachable(false);
        world.loop().after(durationMs, () -> world.setTableReachable(true));
        break;
      default:
        node.replace();
        break;
    }
  }

  /** Request id that its caller sends until it has an answer or the sends are used up. */
  private final class Request {

    private final String id;
    private int runs;

    Request(String id) {
      this.id = id;
    }

    void send(int remainingSends) {
      if (remainingSends == 0) {
        return;
      }
      Send send = new Send(this);
      Node node = world.randomNode();
      node.run(() -> send.start(node));
      world
          .loop()
          .after(1 + random.nextInt(MAX_RETRY_DELAY_MS), () -> retry(send, remainingSends - 1));
    }

    private void retry(Send send, int remainingSends) {
      if (!send.answered) {
        send(remainingSends);
      }
    }

    private int recordRun() {
      runs++;
      if (runs > 1) {
        violations.add(id + " ran " + runs + " times");
      }
      return runs;
    }
  }

  private final class Send {

    private final Request request;
    private boolean answered;
    private boolean ran;
    private boolean reportedNotRun;

    Send(Request request) {
      this.request = request;
    }

    void start(Node node) {
      ClaimContent content = new ClaimContent("pledges", request.id, 7, false, RUN_MS);
      node.coordinator().claim(content).thenAccept(outcome -> onOutcome(node, outcome));
    }

    private void onOutcome(Node node, ClaimOutcome outcome) {
      if (outcome instanceof ClaimOutcome.Granted) {
        granted++;
        onGranted(node, ((ClaimOutcome.Granted) outcome).ticket());
      } else if (outcome instanceof ClaimOutcome.Replayed) {
        answered = true;
        if (((ClaimOutcome.Replayed) outcome).answer().getStatus() != request.runs) {
          violations.add(request.id + " got the answer of another run");
        }
      } else {
        onRefused(((ClaimOutcome.Refused) outcome).code());
      }
    }

    private void onRefused(ResultCode code) {
      answered = code.effect() == Effect.RAN;
      if (code.effect() == Effect.NOT_RUN) {
        reportNotRun();
      }
      if (code.effect() == Effect.RAN && request.runs == 0) {
        violations.add(request.id + " was reported as run but did not run");
      }
    }

    private void onGranted(Node node, ClaimTicket ticket) {
      int delayMs = random.nextInt(faults && random.nextInt(5) == 0 ? 1000 : 20);
      node.run(() -> world.loop().after(delayMs, () -> node.run(() -> start(node, ticket))));
    }

    private void start(Node node, ClaimTicket ticket) {
      if (!ticket.mayStart() || random.nextInt(6) == 0) {
        ticket.release();
        reportNotRun();
        return;
      }
      boolean answerLost = faults && random.nextInt(4) == 0;
      boolean runs = !answerLost || random.nextBoolean();
      world
          .loop()
          .after(random.nextInt(RUN_MS), () -> reachUpstream(node, ticket, runs, answerLost));
    }

    private void reachUpstream(Node node, ClaimTicket ticket, boolean runs, boolean answerLost) {
      int answer = runs ? request.recordRun() : 0;
      if (runs) {
        ran = true;
        checkNotRunReport();
      }
      node.run(
          () -> {
            if (answerLost) {
              ticket.endUnknown();
            } else {
              ticket.endAnswered(KeptAnswer.newBuilder().setStatus(answer).build());
              answered = random.nextInt(3) > 0;
            }
          });
    }

    private void reportNotRun() {
      reportedNotRun = true;
      checkNotRunReport();
    }

    private void checkNotRunReport() {
      if (ran && reportedNotRun) {
        violations.add(request.id + " ran but was reported as not run");
      }
    }
  }
}
