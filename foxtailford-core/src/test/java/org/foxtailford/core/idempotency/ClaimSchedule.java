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
 * Random sends and resends over a world with random faults; the upstream's runs are the witness.
 */
final class ClaimSchedule {

  private static final int LENGTH_MS = 25_000;
  private static final int REQUESTS = 150;
  private static final int SENDS = 4;
  private static final int RESEND_WITHIN_MS = 1000;
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
      world.loop().after(random.nextInt(LENGTH_MS), () -> request.send(SENDS));
    }
    if (faults) {
      for (int i = 0; i < 12; i++) {
        world.loop().after(random.nextInt(LENGTH_MS), this::fault);
      }
    }
    world.loop().runUntil(LENGTH_MS + 10_000);
    return this;
  }

  private void fault() {
    Node node = world.randomNode();
    long lengthMs = 50 + random.nextInt(3000);
    switch (random.nextInt(5)) {
      case 0:
        node.cutOff(1 + random.nextInt(2));
        world.loop().after(lengthMs, () -> node.cutOff(0));
        break;
      case 1:
        node.pause(lengthMs);
        break;
      case 2:
        world.setTableUp(false);
        world.loop().after(lengthMs, () -> world.setTableUp(true));
        break;
      default:
        node.replace();
        break;
    }
  }

  /** One request id, which its caller sends until it has an answer or gives up. */
  private final class Request {

    private final String id;
    private int runs;

    Request(String id) {
      this.id = id;
    }

    void send(int left) {
      if (left == 0) {
        return;
      }
      Send send = new Send(this);
      Node node = world.randomNode();
      node.run(() -> send.start(node));
      world.loop().after(1 + random.nextInt(RESEND_WITHIN_MS), () -> resend(send, left - 1));
    }

    private void resend(Send send, int left) {
      if (!send.answered) {
        send(left);
      }
    }

    private int ran() {
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
    private boolean saidNotRun;

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
          violations.add(request.id + " got another answer");
        }
      } else {
        onRefused(((ClaimOutcome.Refused) outcome).code());
      }
    }

    private void onRefused(ResultCode code) {
      answered = code.effect() == Effect.RAN;
      if (code.effect() == Effect.NOT_RUN) {
        sayNotRun();
      }
      if (code.effect() == Effect.RAN && request.runs == 0) {
        violations.add(request.id + " was said to have run");
      }
    }

    private void onGranted(Node node, ClaimTicket ticket) {
      int delayMs = random.nextInt(faults && random.nextInt(5) == 0 ? 1000 : 20);
      node.run(() -> world.loop().after(delayMs, () -> node.run(() -> start(node, ticket))));
    }

    private void start(Node node, ClaimTicket ticket) {
      if (!ticket.mayStart() || random.nextInt(6) == 0) {
        ticket.release();
        sayNotRun();
        return;
      }
      boolean lost = faults && random.nextInt(4) == 0;
      boolean runs = !lost || random.nextBoolean();
      world.loop().after(random.nextInt(RUN_MS), () -> atUpstream(node, ticket, runs, lost));
    }

    private void atUpstream(Node node, ClaimTicket ticket, boolean runs, boolean lost) {
      int answer = runs ? request.ran() : 0;
      if (runs) {
        ran = true;
        checkNotRun();
      }
      node.run(
          () -> {
            if (lost) {
              ticket.endUnknown();
            } else {
              ticket.endAnswered(KeptAnswer.newBuilder().setStatus(answer).build());
              answered = random.nextInt(3) > 0;
            }
          });
    }

    private void sayNotRun() {
      saidNotRun = true;
      checkNotRun();
    }

    private void checkNotRun() {
      if (ran && saidNotRun) {
        violations.add(request.id + " was falsely said not to have run");
      }
    }
  }
}
