package org.foxtailford.core.coldstart;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.core.slice.KeyHashing;
import org.foxtailford.core.util.Assert;

/**
 * Leases the gate of each upstream to one entry VM, as the leader's side of slow start.
 * Thread-safe.
 *
 * <p>The holder is the live entry VM with the highest rendezvous hash. When that changes, the new
 * holder gets the gate only after the last request that the previous one may have sent has ended. A
 * new leader waits for the same time before its first lease, because it doesn't know the leases of
 * its predecessor.
 */
public final class GateLeaseManager {

  private final GateTiming timing;
  private final long earliestLeaseMs;
  private final Map<String, IssuedLease> issuedLeases = new HashMap<>();

  /**
   * Creates the manager of a new leader, without any leases.
   *
   * @param timing timing of the leases
   * @param leadingSinceMs reading of this VM's clock when its leadership began, which is after the
   *     end of every earlier one
   */
  public GateLeaseManager(GateTiming timing, long leadingSinceMs) {
    this.timing = Assert.notNull(timing, "timing");
    this.earliestLeaseMs = leadingSinceMs + timing.handoverMs();
  }

  private record IssuedLease(VmIncarnation holder, long busyUntilMs) {}

  /**
   * Leases or renews the gates of one entry VM.
   *
   * @param requester the requesting entry VM
   * @param asOfMs reading of that VM's clock when it sent the request
   * @param upstreams names of the upstreams of the data centre
   * @param liveVms names of the live entry VMs of the data centre
   * @param leadingUntilMs reading of this VM's clock until which its leadership is guaranteed
   * @param nowMs reading of this VM's clock
   * @return the lease, which doesn't outlast the leadership; without upstreams if there is none to
   *     hold
   */
  public synchronized GateLease renew(
      VmIncarnation requester,
      long asOfMs,
      Collection<String> upstreams,
      Collection<String> liveVms,
      long leadingUntilMs,
      long nowMs) {
    long ttlMs = Math.min(timing.ttlMs(), leadingUntilMs - nowMs);
    Set<String> leased = new HashSet<>();
    if (ttlMs > 0 && nowMs >= earliestLeaseMs) {
      for (String upstream : upstreams) {
        boolean chosen = chooseHolder(upstream, liveVms).filter(requester.vm()::equals).isPresent();
        if (chosen && mayHold(upstream, requester, nowMs)) {
          issuedLeases.put(upstream, new IssuedLease(requester, nowMs + timing.handoverMs()));
          leased.add(upstream);
        }
      }
    }
    return new GateLease(requester, Set.copyOf(leased), asOfMs, Math.max(0, ttlMs));
  }

  private boolean mayHold(String upstream, VmIncarnation requester, long nowMs) {
    IssuedLease issued = issuedLeases.get(upstream);
    return issued == null || issued.holder().equals(requester) || nowMs >= issued.busyUntilMs();
  }

  /**
   * Returns the entry VM that should hold the gate of an upstream.
   *
   * @param upstream name of the upstream
   * @param liveVms names of the live entry VMs
   * @return the name of the VM; empty if no VM is live
   */
  public static Optional<String> chooseHolder(String upstream, Collection<String> liveVms) {
    return liveVms.stream()
        .max(
            Comparator.<String>comparingLong(vm -> KeyHashing.hash(upstream + '\n' + vm))
                .thenComparing(Comparator.naturalOrder()));
  }
}
