package org.foxtailford.daemon.coldstart;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.foxtailford.core.coldstart.ColdGate;
import org.foxtailford.core.coldstart.ColdStartAdmission;
import org.foxtailford.core.coldstart.ColdStartPermit;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.BootIdListener;
import org.foxtailford.schema.Endpoint;

/**
 * Admits requests to upstreams by this VM's gate, and sees to it that the gate knows which start of
 * each upstream runs. Thread-safe.
 */
public final class SlowStart implements ColdStartAdmission, BootIdListener {

  private static final int MAX_PROBES = 64;

  private final GuardedUpstreams upstreams;
  private final ColdGate gate;
  private final Function<Endpoint, CompletableFuture<Long>> probes;
  private final Consumer<String> restarts;
  private final MillisClock clock;
  private final Set<String> probing = ConcurrentHashMap.newKeySet();

  /**
   * Creates an admission.
   *
   * @param upstreams upstreams that have a cold start
   * @param gate this VM's gate
   * @param probes reads the boot id of the process at an address
   * @param restarts told of each upstream that was found to have started again
   * @param clock this VM's clock
   */
  public SlowStart(
      GuardedUpstreams upstreams,
      ColdGate gate,
      Function<Endpoint, CompletableFuture<Long>> probes,
      Consumer<String> restarts,
      MillisClock clock) {
    this.upstreams = Assert.notNull(upstreams, "upstreams");
    this.gate = Assert.notNull(gate, "gate");
    this.probes = Assert.notNull(probes, "probes");
    this.restarts = Assert.notNull(restarts, "restarts");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Reads the boot ids that are not known yet. Called at every round of the control loop. */
  public void tick() {
    upstreams.all().stream()
        .filter(Upstream::available)
        .filter(upstream -> !gate.isBootIdKnown(upstream.name()))
        .limit(MAX_PROBES)
        .forEach(this::probe);
  }

  private void probe(Upstream upstream) {
    if (!probing.add(upstream.name())) {
      return;
    }
    probes
        .apply(upstream.address())
        .whenComplete(
            (bootId, failure) -> {
              probing.remove(upstream.name());
              if (failure == null) {
                onBootId(upstream.address(), bootId);
              }
            });
  }

  @Override
  public void onBootId(Endpoint endpoint, long bootId) {
    upstreams.nameAt(endpoint).ifPresent(name -> onBootId(name, bootId));
  }

  private void onBootId(String upstream, long bootId) {
    if (gate.onConnected(upstream, bootId, clock.nowMs())) {
      restarts.accept(upstream);
    }
  }

  @Override
  public Optional<ColdStartPermit> tryStart(String upstream, long nowMs) {
    return gate.tryStart(upstream, nowMs);
  }

  @Override
  public void recordEnd(ColdStartPermit ticket, boolean certain) {
    gate.recordEnd(ticket, certain);
  }

  @Override
  public void onColdRefusal(String upstream, long nowMs) {
    gate.onColdRefusal(upstream, nowMs);
  }
}
