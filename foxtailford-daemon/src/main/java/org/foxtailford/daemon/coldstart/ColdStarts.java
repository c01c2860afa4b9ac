package org.foxtailford.daemon.coldstart;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailford.core.coldstart.ColdGate;
import org.foxtailford.core.coldstart.GateTiming;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.daemon.peer.PeerMessenger;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.PeerFrame;

/**
 * Creates and connects the components that limit requests to cold upstreams on one entry VM: the
 * admission of requests and the exchange of gate leases. Accessors are thread-safe; {@link #tick}
 * runs on the control executor.
 */
public final class ColdStarts {

  private final SlowStartAdmission admission;
  private final GateExchange gates;

  /**
   * Creates the components.
   *
   * @param self the identity of this VM
   * @param membership the leader and the live entry VMs of this VM's data centre
   * @param peers sends a message to one entry VM
   * @param broadcast sends a message to all other entry VMs
   * @param configurations supplies the current configuration
   * @param timing durations that govern the gate leases
   * @param bootIdReader reads the boot id of the process at an address; the future fails if it
   *     cannot be read
   * @param restartListener receives the name of each upstream found to have restarted
   * @param clock the clock of this VM
   * @param controlExecutor executor on which gate messages are sent and handled
   */
  public ColdStarts(
      PeerIdentity self,
      GateMembership membership,
      PeerMessenger peers,
      Consumer<PeerFrame> broadcast,
      Supplier<ConfigurationView> configurations,
      GateTiming timing,
      Function<Endpoint, CompletableFuture<Long>> bootIdReader,
      Consumer<String> restartListener,
      MillisClock clock,
      Executor controlExecutor) {
    GuardedUpstreams upstreams = new GuardedUpstreams(configurations);
    ColdGate gate =
        new ColdGate(
            upstreams::findLimits,
            (name, bootId) -> controlExecutor.execute(() -> announceWarm(name, bootId)));
    this.gates =
        new GateExchange(self, membership, peers, broadcast, upstreams, gate, timing, clock);
    this.admission = new SlowStartAdmission(upstreams, gate, bootIdReader, restartListener, clock);
  }

  private void announceWarm(String upstream, long bootId) {
    gates.announceWarm(upstream, bootId);
  }

  /**
   * Returns the admission that decides whether a request may be sent to an upstream. Thread-safe.
   */
  public SlowStartAdmission admission() {
    return admission;
  }

  /** Returns the gate exchange, which must be called on the control executor. */
  public GateExchange gates() {
    return gates;
  }

  /**
   * Requests gate leases and reads unknown boot ids. Called once per round on the control executor.
   */
  public void tick() {
    gates.tick();
    admission.tick();
  }
}
