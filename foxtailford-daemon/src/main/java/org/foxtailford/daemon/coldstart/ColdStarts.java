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

/** The parts of slow start of one entry VM, put together. Thread-safe. */
public final class ColdStarts {

  private final SlowStart admission;
  private final GateExchange gates;

  /**
   * Creates the parts.
   *
   * @param self this VM
   * @param membership leader and members of the data centre
   * @param peers links to other entry VMs
   * @param broadcast sends to all of them
   * @param configurations gives the configuration in force
   * @param timing timing of the gate leases
   * @param probes reads the boot id of the process at an address
   * @param restarts told of each upstream that was found to have started again
   * @param clock this VM's clock
   * @param control executor of the gates' messages
   */
  public ColdStarts(
      PeerIdentity self,
      GateMembership membership,
      PeerMessenger peers,
      Consumer<PeerFrame> broadcast,
      Supplier<ConfigurationView> configurations,
      GateTiming timing,
      Function<Endpoint, CompletableFuture<Long>> probes,
      Consumer<String> restarts,
      MillisClock clock,
      Executor control) {
    GuardedUpstreams upstreams = new GuardedUpstreams(configurations);
    ColdGate gate =
        new ColdGate(
            upstreams::limits, (name, bootId) -> control.execute(() -> announceWarm(name, bootId)));
    this.gates =
        new GateExchange(self, membership, peers, broadcast, upstreams, gate, timing, clock);
    this.admission = new SlowStart(upstreams, gate, probes, restarts, clock);
  }

  private void announceWarm(String upstream, long bootId) {
    gates.announceWarm(upstream, bootId);
  }

  /** Returns what decides whether a request may go to an upstream. */
  public SlowStart admission() {
    return admission;
  }

  /** Returns the exchange of the gates, for the control executor. */
  public GateExchange gates() {
    return gates;
  }

  /** Asks for gates and boot ids. Called at every round on the control executor. */
  public void tick() {
    gates.tick();
    admission.tick();
  }
}
