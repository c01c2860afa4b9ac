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
 * Admits requests to upstreams through the gate of this VM, and keeps the gate informed of the
 * current boot id of each upstream. Thread-safe.
 */
public final class SlowStartAdmission implements ColdStartAdmission, BootIdListener {

  /** Maximum number of boot id reads started per round. */
  private static final int MAX_READS_PER_ROUND = 64;

  private final GuardedUpstreams upstreams;
  private final ColdGate gate;
  private final Function<Endpoint, CompletableFuture<Long>> bootIdReader;
  private final Consumer<String> restartListener;
  private final MillisClock clock;
  private final Set<String> pendingReads = ConcurrentHashMap.newKeySet();

  /**
   * Creates an admission.
   *
   * @param upstreams the upstreams that have a cold start
   * @param gate the gate of this VM
   * @param bootIdReader reads the boot id of the process at an address; the future fails if it
   *     cannot be read
   * @param restartListener receives the name of each upstream found to have restarted
   * @param clock the clock of this VM
   */
  public SlowStartAdmission(
      GuardedUpstreams upstreams,
      ColdGate gate,
      Function<Endpoint, CompletableFuture<Long>> bootIdReader,
      Consumer<String> restartListener,
      MillisClock clock) {
    this.upstreams = Assert.notNull(upstreams, "upstreams");
    this.gate = Assert.notNull(gate, "gate");
    this.bootIdReader = Assert.notNull(bootIdReader, "bootIdReader");
    this.restartListener = Assert.notNull(restartListener, "restartListener");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Starts reading the boot ids that are still unknown. Called once per round of the control loop.
   */
  public void tick() {
    upstreams.all().stream()
        .filter(Upstream::available)
        .filter(upstream -> !gate.isBootIdKnown(upstream.name()))
        .limit(MAX_READS_PER_ROUND)
        .forEach(this::readBootId);
  }

  private void readBootId(Upstream upstream) {
    if (!pendingReads.add(upstream.name())) {
      return;
    }
    bootIdReader
        .apply(upstream.address())
        .whenComplete(
            (bootId, failure) -> {
              pendingReads.remove(upstream.name());
              if (failure == null) {
                onBootId(upstream.address(), bootId);
              }
            });
  }

  @Override
  public void onBootId(Endpoint endpoint, long bootId) {
    upstreams.findNameAt(endpoint).ifPresent(name -> onBootId(name, bootId));
  }

  private void onBootId(String upstream, long bootId) {
    if (gate.onConnected(upstream, bootId, clock.nowMs())) {
      restartListener.accept(upstream);
    }
  }

  @Override
  public Optional<ColdStartPermit> tryStart(String upstream, long nowMs) {
    return gate.tryStart(upstream, nowMs);
  }

  @Override
  public void recordEnd(ColdStartPermit permit, boolean confirmed) {
    gate.recordEnd(permit, confirmed);
  }

  @Override
  public void onColdRefusal(String upstream, long nowMs) {
    gate.onColdRefusal(upstream, nowMs);
  }
}
