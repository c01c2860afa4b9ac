import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry VM is killed and starts again while an instance that never reports draining leaves, and
 * answers between entry VMs are slow. No request may reach the instance later than the drain time
 * after its entry is gone.
 */
final class RestartedVm extends Case {

  private static final int ROUNDS = 6;
  private static final int STAYING = 4;
  private static final long DRAIN_MS = 2000;
  private static final long CONTACT_MS = 3000;
  private static final long SERVES_ON_MS = 8000;
  private static final long RESTART_MS = 300;
  private static final long LINK_DELAY_MS = 200;
  private static final long BEFORE_FIRST_CALL_MS = 60;
  private static final long INTERVAL_MS = 25;

  private final Map<String, Long> removedNanos = new ConcurrentHashMap<>();
  private final Set<String> lateInstances = ConcurrentHashMap.newKeySet();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private volatile long disturbedNanos;
  private volatile boolean ended;

  public static void main(String[] arguments) {
    run(new RestartedVm(), arguments);
  }

  private final class Pantry extends InstanceStandIn {

    Pantry(String id, int number) throws IOException {
      super(id, "pantry-svc", "z" + number % 3, 6, false, record);
    }

    @Override
    long workMs(Http request) {
      return 30;
    }

    @Override
    void onRun(Http request) {
      Long removed = removedNanos.get(id);
      long now = System.nanoTime();
      if (removed != null
          && ms(now - removed) > DRAIN_MS
          && ms(now - disturbedNanos) > CONTACT_MS) {
        late.incrementAndGet();
        if (lateInstances.add(id)) {
          record.say("DRAIN: %s reaches %s %d ms after its entry was removed",
              request.header("Request-Id", ""), id, ms(now - removed));
        }
      }
    }
  }

  private static long ms(long nanos) {
    return nanos / 1_000_000;
  }

  @Override
  String prepare(Deployment deployment) throws IOException {
    for (int i = 0; i < STAYING; i++) {
      deployment.add(new Pantry("i-stays" + i, i));
    }
    for (int i = 0; i < ROUNDS; i++) {
      deployment.add(new Pantry("i-leaves" + i, i));
    }
    for (int i = 0; i < 3; i++) {
      deployment.addVm("edge-" + (i + 1), "z" + i);
    }
    return Deployment.config(
        7,
        "[\"r-stock\",\"pantry.example\",\"/stock/\",\"safe\",\"800ms\",\"200ms\",1,"
            + "\"pantry-svc\",2,null]",
        Deployment.service("pantry-svc", false));
  }

  @Override
  boolean play(Deployment deployment) throws Exception {
    Deployment.Vm vm = deployment.vms.get(2);
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      int number = i;
      Thread consumer = new Thread(() -> consume(vm, number));
      consumer.start();
      consumers.add(consumer);
    }
    try (SlowLink first = new SlowLink(deployment.vms.get(0).control, LINK_DELAY_MS);
        SlowLink second = new SlowLink(deployment.vms.get(1).control, LINK_DELAY_MS)) {
      vm.seeds = List.of(first.address(), second.address());
      long firstCallMs = trouble ? restart(deployment, vm, first, second, null, 0) : 0;
      for (int round = 0; round < ROUNDS; round++) {
        InstanceStandIn leaving = deployment.instances.get(STAYING + round);
        if (trouble) {
          restart(deployment, vm, first, second, leaving, firstCallMs);
        } else {
          remove(deployment, leaving);
        }
        Thread.sleep(SERVES_ON_MS);
        leaving.close();
        record.line("%s has ended", leaving.id);
        Thread.sleep(500);
      }
    }
    ended = true;
    for (Thread consumer : consumers) {
      consumer.join();
    }
    record.say("%d sent, %d answered 200, %d reached an instance too late, in %d of %d rounds",
        sent.get(), answered.get(), late.get(), lateInstances.size(), ROUNDS);
    return late.get() > 0;
  }

  /**
   * Kills and starts the entry VM. An instance leaves shortly before the VM's first call to others.
   *
   * @param firstCallMs time from its start to that call; 0 if it is not known and nothing leaves
   * @return the time from its start to its first call
   */
  private long restart(
      Deployment deployment,
      Deployment.Vm vm,
      SlowLink first,
      SlowLink second,
      InstanceStandIn leaving,
      long firstCallMs)
      throws IOException, InterruptedException {
    disturbedNanos = System.nanoTime();
    record.line("SIGKILL to %s", vm.node);
    vm.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    Thread.sleep(RESTART_MS);
    first.takeFirstUseNanos();
    second.takeFirstUseNanos();
    deployment.startVm(vm);
    long startedNanos = System.nanoTime();
    disturbedNanos = startedNanos;
    if (leaving != null) {
      Thread.sleep(Math.max(0, firstCallMs - BEFORE_FIRST_CALL_MS));
      remove(deployment, leaving);
    }
    Thread.sleep(2000);
    long a = first.takeFirstUseNanos();
    long b = second.takeFirstUseNanos();
    long useNanos = a == 0 ? b : b == 0 ? a : Math.min(a, b);
    record.line("%s calls another entry VM first %d ms after its start", vm.node,
        ms(useNanos - startedNanos));
    return ms(useNanos - startedNanos);
  }

  private void remove(Deployment deployment, InstanceStandIn leaving) {
    deployment.remove(leaving);
    removedNanos.put(leaving.id, System.nanoTime());
    record.line("%s leaves: its entry is removed, it serves on", leaving.id);
  }

  private void consume(Deployment.Vm vm, int number) {
    for (int i = 0; !ended; i++) {
      String requestId = "st-" + number + "-" + i;
      try (Socket socket = new Socket("127.0.0.1", vm.front)) {
        socket.setSoTimeout(2000);
        String request = "GET /stock/" + requestId + " HTTP/1.1\r\nHost: pantry.example\r\n"
            + "Request-Id: " + requestId + "\r\nDeadline-Ms: 800\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        out.write(request.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        sent.incrementAndGet();
        Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
        if (answer != null && answer.status() == 200) {
          answered.incrementAndGet();
        } else {
          record.line("answered %s: %s", requestId, answer == null ? "nothing" : answer.firstLine);
        }
      } catch (IOException e) {
        record.line("no answer to %s: %s", requestId, e.getMessage());
      }
      try {
        Thread.sleep(INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
