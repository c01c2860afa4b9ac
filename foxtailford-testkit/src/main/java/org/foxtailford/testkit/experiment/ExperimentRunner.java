package org.foxtailford.testkit.experiment;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.ExperimentLoad;
import org.foxtailford.schema.ExperimentPhase;
import org.foxtailford.schema.ExperimentService;
import org.foxtailford.schema.ExperimentSettings;
import org.foxtailford.testkit.command.StandInWorld;

/**
 * Runs an experiment: starts stand-ins and entry VMs in this process, puts the load on them, gives
 * the orders and reports. Its figures depend on the machine and on what else runs there.
 */
public final class ExperimentRunner {

  private static final int CLIENT_THREADS = 2;
  private static final int CLIENT_CONNECTIONS = 512;
  private static final int MAX_ANSWER_BYTES = 8 << 20;
  private static final int OK = 200;
  private static final int PROBED_KEYS = 24;
  private static final long READY_WITHIN_MS = 30_000;
  private static final long POLL_MS = 50;
  private static final long LEAD_MS = 100;

  private final ExperimentSettings settings;
  private final EntryVmLauncher launcher;
  private final ExperimentFleet fleet;

  /**
   * Creates a runner.
   *
   * @param settings checked settings
   * @param launcher starts the entry VMs
   */
  public ExperimentRunner(ExperimentSettings settings, EntryVmLauncher launcher) {
    this.settings = Assert.notNull(settings, "settings");
    this.launcher = Assert.notNull(launcher, "launcher");
    this.fleet = new ExperimentFleet(settings);
  }

  /**
   * Runs the experiment and stops everything that it started.
   *
   * @throws IllegalStateException if the system is not ready in time or refuses an order
   */
  public ExperimentReport run() {
    EventLoopGroup loops =
        new MultiThreadIoEventLoopGroup(CLIENT_THREADS, NioIoHandler.newFactory());
    List<AutoCloseable> started = new ArrayList<>();
    try (StandInWorld world = new StandInWorld(fleet.standIns());
        PooledHttpClient client =
            new PooledHttpClient(loops, CLIENT_CONNECTIONS, MAX_ANSWER_BYTES)) {
      fleet.entryVms().forEach(vm -> started.add(launcher.launch(vm)));
      return measure(client);
    } finally {
      started.forEach(ExperimentRunner::close);
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void close(AutoCloseable vm) {
    try {
      vm.close();
    } catch (Exception e) {
      throw new IllegalStateException("an entry VM can't be stopped", e);
    }
  }

  private ExperimentReport measure(PooledHttpClient client) {
    List<Endpoint> callers =
        fleet.entryVms().stream().map(DaemonSettings::getCallerListener).toList();
    OperatorClient operators =
        new OperatorClient(
            client, fleet.entryVms().stream().map(DaemonSettings::getOperatorListener).toList());
    operators.apply(fleet.configuration(Set.of()));
    await("every entry VM is ready", operators::allReady);
    await("every slice has an owner", () -> isServed(client, callers));
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    try {
      List<Arrival> arrivals = LoadSchedule.of(settings);
      long startNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEAD_MS);
      CompletableFuture<List<PhaseRetries>> retries =
          new PhaseOrders(settings.getPhasesList(), fleet, operators).schedule(timer, startNanos);
      List<RequestOutcome> outcomes =
          new LoadGenerator(client, callers, settings.getTimeoutMs()).run(arrivals, startNanos);
      return report(outcomes, retries.join());
    } finally {
      timer.shutdownNow();
    }
  }

  private boolean isServed(PooledHttpClient client, List<Endpoint> callers) {
    return callers.stream()
        .allMatch(
            caller ->
                settings.getServicesList().stream()
                    .allMatch(service -> isServed(client, caller, service)));
  }

  private boolean isServed(PooledHttpClient client, Endpoint caller, ExperimentService service) {
    return service.getLoadList().stream()
        .filter(ExperimentLoad::getIdempotent)
        .limit(1)
        .allMatch(
            load -> {
              String uri = "/" + service.getName() + "/" + load.getKind();
              for (int i = 0; i < PROBED_KEYS; i++) {
                if (!answers(client, caller, uri, "key-" + i)) {
                  return false;
                }
              }
              return true;
            });
  }

  private boolean answers(PooledHttpClient client, Endpoint caller, String uri, String key) {
    HttpExchange probe =
        new HttpExchange(
            HttpMethod.GET,
            uri,
            new DefaultHttpHeaders().set(FoxtailHeaders.KEY, key),
            new byte[0]);
    return client
        .send(caller, probe, settings.getTimeoutMs())
        .handle((answer, failure) -> failure == null && answer.status() == OK)
        .join();
  }

  private static void await(String what, BooleanSupplier condition) {
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_WITHIN_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > untilNanos) {
        throw new IllegalStateException("not within " + READY_WITHIN_MS + " ms: " + what);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MS));
    }
  }

  private ExperimentReport report(List<RequestOutcome> outcomes, List<PhaseRetries> retries) {
    PhaseAccounting accounting = new PhaseAccounting(PhaseWindow.of(settings.getPhasesList()));
    List<ServiceFigures> figures =
        settings.getServicesList().stream()
            .flatMap(service -> accounting.figures(service.getName(), outcomes).stream())
            .toList();
    return new ExperimentReport(settings.getTitle(), figures, retries, work(outcomes));
  }

  private List<DataCentreWork> work(List<RequestOutcome> outcomes) {
    List<ExperimentPhase> phases = settings.getPhasesList();
    List<PhaseWindow> windows = PhaseWindow.of(phases);
    List<DataCentreWork> work = new ArrayList<>();
    for (int i = 0; i < phases.size(); i++) {
      String name = phases.get(i).getTakeOut();
      if (!name.isEmpty()) {
        long inMs = broughtInMs(name, phases.subList(i + 1, phases.size()), windows, i + 1);
        work.add(
            DataCentreWork.of(
                name, fleet.upstreamsIn(name), windows.get(i).startMs(), inMs, outcomes));
      }
    }
    return work;
  }

  private static long broughtInMs(
      String name, List<ExperimentPhase> later, List<PhaseWindow> windows, int offset) {
    for (int i = 0; i < later.size(); i++) {
      if (later.get(i).getBringIn().equals(name)) {
        return windows.get(offset + i).startMs();
      }
    }
    return Long.MAX_VALUE;
  }
}
