package org.foxtailford.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.MemberSighting;
import org.foxtailford.schema.MembershipUpdate;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the entry VMs from the platform's VM list, which lags behind, and from heartbeats.
 *
 * <p>A listed VM is usable until it has been silent for the time limit. A VM of this data centre
 * that this VM has no recent sighting of is live if the leader's update contains it. A VM that is
 * not listed yet is not a member, but its sightings are kept and reported. Ownership doesn't depend
 * on this view: if it is wrong, requests take detours, but safety holds.
 *
 * <p>Not thread-safe.
 */
public final class MembershipTracker {

  /** Sightings through other VMs are refreshed less often than direct ones, so are valid longer. */
  private static final int INDIRECT_VALIDITY_FACTOR = 8;

  private final String self;
  private final String dataCentre;
  private final long lostAfterMs;
  private final MillisClock clock;
  private final Map<String, VmEntry> listed = new TreeMap<>();
  private final Map<String, Sighting> sightings = new HashMap<>();
  private final Map<String, Long> listedSinceMs = new HashMap<>();
  private final Map<String, Long> neighbourSinceMs = new HashMap<>();
  private final Map<String, Fence> suspectedAt = new HashMap<>();
  private Fence updateVersion = Fence.NONE;
  private String leader = "";
  private Map<String, MemberSighting> leaderSightings = Map.of();

  /** The latest observation of a VM, made directly or reported by another VM. */
  private record Sighting(long bootId, long observedMs, boolean leaving, boolean direct) {}

  /**
   * Creates a tracker.
   *
   * @param self name of this VM
   * @param dataCentre data centre of this VM
   * @param lostAfterMs time without a sighting after which a VM is lost, in milliseconds
   * @param clock elapsed-time clock of this VM
   */
  public MembershipTracker(String self, String dataCentre, long lostAfterMs, MillisClock clock) {
    this.self = Assert.hasLength(self, "self");
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    Assert.isTrue(lostAfterMs > 0, "lostAfterMs must be positive");
    this.lostAfterMs = lostAfterMs;
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Applies a new VM list. VMs that are not on it are no longer members. */
  public void onVmList(VmList vms) {
    long nowMs = clock.nowMs();
    listed.clear();
    vms.getVmsList().stream()
        .filter(vm -> vm.getRole() == VmRole.VM_ROLE_ENTRY)
        .forEach(vm -> listed.put(vm.getName(), vm));
    listedSinceMs.keySet().retainAll(listed.keySet());
    listed.keySet().forEach(vm -> listedSinceMs.putIfAbsent(vm, nowMs));
  }

  /** Records a message received directly from a VM. */
  public void onDirectSighting(String vm, long bootId, boolean leaving) {
    sightings.put(vm, new Sighting(bootId, clock.nowMs(), leaving, true));
    suspectedAt.remove(vm);
  }

  /** Records the sightings that another VM reports; those older than the known ones are ignored. */
  public void onSightings(List<MemberSighting> reported) {
    long nowMs = clock.nowMs();
    for (MemberSighting report : reported) {
      long observedMs = nowMs - report.getAgeMs();
      Sighting known = sightings.get(report.getVm());
      if (known == null || known.observedMs() < observedMs) {
        sightings.put(
            report.getVm(),
            new Sighting(report.getBootId(), observedMs, report.getLeaving(), false));
      }
    }
  }

  /**
   * Applies the leader's update unless an equal or newer version is known or it is of another data
   * centre.
   *
   * @return whether it was applied
   */
  public boolean onUpdate(MembershipUpdate update) {
    Fence version = Fence.of(update.getVersion());
    boolean newer = version.compareTo(updateVersion) > 0;
    if (!newer || !update.getDataCentre().equals(dataCentre)) {
      return false;
    }
    updateVersion = version;
    leader = update.getLeader();
    leaderSightings =
        update.getMembersList().stream()
            .collect(Collectors.toMap(MemberSighting::getVm, m -> m, (a, b) -> b));
    return true;
  }

  /**
   * Sets the VMs that are expected to send heartbeats to this one, and suspects those that have
   * sent none for the time limit.
   */
  public void expectHeartbeatsFrom(Collection<String> neighbours) {
    long nowMs = clock.nowMs();
    neighbourSinceMs.keySet().retainAll(neighbours);
    neighbours.forEach(vm -> neighbourSinceMs.putIfAbsent(vm, nowMs));
    for (String vm : neighbours) {
      Sighting latest = sightings.get(vm);
      long directMs = latest != null && latest.direct() ? latest.observedMs() : Long.MIN_VALUE;
      if (nowMs - Math.max(directMs, neighbourSinceMs.get(vm)) >= lostAfterMs) {
        suspectedAt.putIfAbsent(vm, updateVersion);
      }
    }
  }

  public Fence updateVersion() {
    return updateVersion;
  }

  /** Returns the leader that the last update named; empty if there was none. */
  public Optional<String> leader() {
    return Optional.of(leader).filter(name -> !name.isEmpty());
  }

  /**
   * Returns the valid sightings of VMs that are not suspected, this one included.
   *
   * @param bootId boot id of this VM
   * @param leaving whether this VM is about to stop
   */
  public List<MemberSighting> recentSightings(long bootId, boolean leaving) {
    long nowMs = clock.nowMs();
    List<MemberSighting> recent = new ArrayList<>();
    recent.add(sighting(self, bootId, 0, leaving));
    sightings.forEach(
        (vm, latest) -> {
          long ageMs = nowMs - latest.observedMs();
          if (ageMs < validMs(latest) && !vm.equals(self) && !isSuspected(vm)) {
            recent.add(sighting(vm, latest.bootId(), ageMs, latest.leaving()));
          }
        });
    return recent;
  }

  private long validMs(Sighting latest) {
    return latest.direct() ? lostAfterMs : lostAfterMs * INDIRECT_VALIDITY_FACTOR;
  }

  private boolean isSuspected(String vm) {
    Fence at = suspectedAt.get(vm);
    return at != null && !(leaderSightings.containsKey(vm) && updateVersion.compareTo(at) > 0);
  }

  private static MemberSighting sighting(String vm, long bootId, long ageMs, boolean leaving) {
    return MemberSighting.newBuilder()
        .setVm(vm)
        .setBootId(bootId)
        .setAgeMs((int) ageMs)
        .setLeaving(leaving)
        .build();
  }

  /** Returns the listed entry VMs of all data centres, sorted by name. */
  public List<Member> members() {
    return listed.values().stream().map(this::member).toList();
  }

  /** Returns the names of the usable entry VMs of a data centre, sorted. May include this VM. */
  public List<String> usableVms(String ofDataCentre) {
    return members().stream()
        .filter(member -> member.dataCentre().equals(ofDataCentre))
        .filter(Member::isUsable)
        .map(Member::vm)
        .toList();
  }

  /** Returns the names of the live entry VMs of a data centre. May include this VM. */
  public Set<String> liveVms(String ofDataCentre) {
    return members().stream()
        .filter(member -> member.dataCentre().equals(ofDataCentre))
        .filter(member -> member.state() == MemberState.LIVE)
        .map(Member::vm)
        .collect(Collectors.toSet());
  }

  private Member member(VmEntry vm) {
    Sighting latest = sightings.get(vm.getName());
    long bootId = latest == null ? 0 : latest.bootId();
    return new Member(vm.getName(), vm.getDataCentre(), vm.getAddress(), bootId, state(vm, latest));
  }

  private MemberState state(VmEntry vm, @Nullable Sighting latest) {
    boolean leaving = vm.getState() == VmState.VM_STATE_LEAVING;
    if (vm.getName().equals(self)) {
      return leaving ? MemberState.LEAVING : MemberState.LIVE;
    }
    if (isSuspected(vm.getName())) {
      return leaving ? MemberState.LEAVING : MemberState.LOST;
    }
    if (latest != null && clock.nowMs() - latest.observedMs() < validMs(latest)) {
      return leaving || latest.leaving() ? MemberState.LEAVING : MemberState.LIVE;
    }
    MemberSighting reported = leaderSightings.get(vm.getName());
    if (reported != null && vm.getDataCentre().equals(dataCentre)) {
      return leaving || reported.getLeaving() ? MemberState.LEAVING : MemberState.LIVE;
    }
    if (leaving) {
      return MemberState.LEAVING;
    }
    long sinceMs = listedSinceMs.getOrDefault(vm.getName(), 0L);
    boolean listedRecently = clock.nowMs() - sinceMs < lostAfterMs;
    boolean otherDataCentre = !vm.getDataCentre().equals(dataCentre);
    return listedRecently || otherDataCentre ? MemberState.LISTED : MemberState.LOST;
  }
}
