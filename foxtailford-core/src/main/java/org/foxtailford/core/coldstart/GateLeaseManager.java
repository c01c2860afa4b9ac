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
 * The leader's part of slow start: leases the gate of each upstream to one entry VM. Thread-safe.
 *
 * <p>The holder is the live entry VM with the highest rendezvous hash. When that changes, the new
 * one gets the gate only after the last request that the old one may have sent is over. A new
 * leader waits as long before its first lease, since it does not know its predecessor's.
 */
public final class GateLeaseManager {

  private final GateTiming timing;
  private final long firstLeaseMs;
  private final Map<String, Tenure> tenures = new HashMap<>();

  /**
   * Creates the keeper of a new leader.
   *
   * @param timing timing of the leases
   * @param leadsSinceMs reading of this VM's clock when its leadership began, which is after the
   *     end of every earlier one
   */
  public GateLeaseManager(GateTiming timing, long leadsSinceMs) {
    this.timing = Assert.notNull(timing, "timing");
    this.firstLeaseMs = leadsSinceMs + timing.handoverMs();
  }

  private record Tenure(VmIncarnation holder, long busyUntilMs) {}

  /**
   * Leases or renews the gates of one entry VM.
   *
   * @param member who asks
   * @param asOfMs reading of its clock when it asked
   * @param upstreams upstreams of the data centre
   * @param liveVms names of the live entry VMs of the data centre
   * @param leadsUntilMs until when the leadership surely lasts, on this VM's clock
   * @param nowMs reading of this VM's clock
   */
  public synchronized GateLease renew(
      VmIncarnation member,
      long asOfMs,
      Collection<String> upstreams,
      Collection<String> liveVms,
      long leadsUntilMs,
      long nowMs) {
    long ttlMs = Math.min(timing.ttlMs(), leadsUntilMs - nowMs);
    Set<String> leased = new HashSet<>();
    if (ttlMs > 0 && nowMs >= firstLeaseMs) {
      for (String upstream : upstreams) {
        boolean chosen = chooseHolder(upstream, liveVms).filter(member.vm()::equals).isPresent();
        if (chosen && mayHold(upstream, member, nowMs)) {
          tenures.put(upstream, new Tenure(member, nowMs + timing.handoverMs()));
          leased.add(upstream);
        }
      }
    }
    return new GateLease(member, Set.copyOf(leased), asOfMs, Math.max(0, ttlMs));
  }

  private boolean mayHold(String upstream, VmIncarnation member, long nowMs) {
    Tenure tenure = tenures.get(upstream);
    return tenure == null || tenure.holder().equals(member) || nowMs >= tenure.busyUntilMs();
  }

  /**
   * Returns the entry VM that should hold the gate of an upstream.
   *
   * @param upstream name of the upstream
   * @param liveVms names of the live entry VMs
   */
  public static Optional<String> chooseHolder(String upstream, Collection<String> liveVms) {
    return liveVms.stream()
        .max(
            Comparator.<String>comparingLong(vm -> KeyHashing.hash(upstream + '\n' + vm))
                .thenComparing(Comparator.naturalOrder()));
  }
}
