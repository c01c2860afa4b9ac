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
 * Joins the platform's lagging VM list with what heartbeats tell.
 *
 * <p>A VM of the list counts until it has been silent for the time limit. A VM that the list does
 * not have yet counts once it was heard from. The leader's update decides for VMs that this one
 * does not hear from itself. Nothing here decides ownership: a wrong view costs detours, not
 * safety.
 *
 * <p>Not thread-safe.
 */
public final class MembershipTracker {

  /** Sightings through other VMs are refreshed more rarely than direct ones. */
  private static final int INDIRECT_FACTOR = 8;

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
  private Map<String, MemberSighting> updated = Map.of();

  /** When a VM was heard from, directly or through another one. */
  private record Sighting(long bootId, long heardMs, boolean leaving, boolean direct) {}

  /**
   * Creates a tracker.
   *
   * @param self name of this VM
   * @param dataCentre data centre of this VM
   * @param lostAfterMs silence after which a VM counts as lost, in milliseconds
   * @param clock clock of this VM
   */
  public MembershipTracker(String self, String dataCentre, long lostAfterMs, MillisClock clock) {
    this.self = Assert.hasLength(self, "self");
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    Assert.isTrue(lostAfterMs > 0, "lostAfterMs must be positive");
    this.lostAfterMs = lostAfterMs;
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Takes a new VM list. VMs that it no longer has are forgotten unless they are heard from. */
  public void onVmList(VmList vms) {
    long nowMs = clock.nowMs();
    listed.clear();
    vms.getVmsList().stream()
        .filter(vm -> vm.getRole() == VmRole.VM_ROLE_ENTRY)
        .forEach(vm -> listed.put(vm.getName(), vm));
    listedSinceMs.keySet().retainAll(listed.keySet());
    listed.keySet().forEach(vm -> listedSinceMs.putIfAbsent(vm, nowMs));
  }

  /** Notes that a VM was heard from directly. */
  public void onDirectSighting(String vm, long bootId, boolean leaving) {
    sightings.put(vm, new Sighting(bootId, clock.nowMs(), leaving, true));
    suspectedAt.remove(vm);
  }

  /** Notes what another VM has heard. Older news than what is known is dropped. */
  public void onSightings(List<MemberSighting> reported) {
    long nowMs = clock.nowMs();
    for (MemberSighting report : reported) {
      long heardMs = nowMs - report.getAgeMs();
      Sighting known = sightings.get(report.getVm());
      if (known == null || known.heardMs() < heardMs) {
        sightings.put(
            report.getVm(), new Sighting(report.getBootId(), heardMs, report.getLeaving(), false));
      }
    }
  }

  /**
   * Takes the leader's view unless a newer one is known.
   *
   * @return whether it was taken
   */
  public boolean onUpdate(MembershipUpdate update) {
    Fence version = Fence.of(update.getVersion());
    boolean newer = version.compareTo(updateVersion) > 0;
    if (!newer || !update.getDataCentre().equals(dataCentre)) {
      return false;
    }
    updateVersion = version;
    leader = update.getLeader();
    updated =
        update.getMembersList().stream()
            .collect(Collectors.toMap(MemberSighting::getVm, m -> m, (a, b) -> b));
    return true;
  }

  /** Names the VMs that are expected to send heartbeats to this one; suspects those that do not. */
  public void expectHeartbeatsFrom(Collection<String> neighbours) {
    long nowMs = clock.nowMs();
    neighbourSinceMs.keySet().retainAll(neighbours);
    neighbours.forEach(vm -> neighbourSinceMs.putIfAbsent(vm, nowMs));
    for (String vm : neighbours) {
      Sighting seen = sightings.get(vm);
      long directMs = seen != null && seen.direct() ? seen.heardMs() : Long.MIN_VALUE;
      if (nowMs - Math.max(directMs, neighbourSinceMs.get(vm)) >= lostAfterMs) {
        suspectedAt.putIfAbsent(vm, updateVersion);
      }
    }
  }

  public Fence updateVersion() {
    return updateVersion;
  }

  /** Returns the leader of this data centre, as its last update named it. */
  public Optional<String> leader() {
    return Optional.of(leader).filter(name -> !name.isEmpty());
  }

  /** Returns the VMs that were heard from within the time limit, this one included. */
  public List<MemberSighting> recentSightings(long bootId, boolean leaving) {
    long nowMs = clock.nowMs();
    List<MemberSighting> recent = new ArrayList<>();
    recent.add(sighting(self, bootId, 0, leaving));
    sightings.forEach(
        (vm, seen) -> {
          long ageMs = nowMs - seen.heardMs();
          if (ageMs < validMs(seen) && !vm.equals(self) && !isSuspected(vm)) {
            recent.add(sighting(vm, seen.bootId(), ageMs, seen.leaving()));
          }
        });
    return recent;
  }

  private long validMs(Sighting seen) {
    return seen.direct() ? lostAfterMs : lostAfterMs * INDIRECT_FACTOR;
  }

  private boolean isSuspected(String vm) {
    Fence at = suspectedAt.get(vm);
    return at != null && !(updated.containsKey(vm) && updateVersion.compareTo(at) > 0);
  }

  private static MemberSighting sighting(String vm, long bootId, long ageMs, boolean leaving) {
    return MemberSighting.newBuilder()
        .setVm(vm)
        .setBootId(bootId)
        .setAgeMs((int) ageMs)
        .setLeaving(leaving)
        .build();
  }

  /** Returns the entry VMs of all data centres, sorted by name. */
  public List<Member> members() {
    return listed.values().stream().map(this::member).toList();
  }

  /** Returns the names of the usable entry VMs of a data centre, this one included. */
  public List<String> usableVms(String where) {
    return members().stream()
        .filter(member -> member.dataCentre().equals(where))
        .filter(Member::isUsable)
        .map(Member::vm)
        .toList();
  }

  /** Returns the usable entry VMs of a data centre that were really heard from, sorted. */
  public Set<String> liveVms(String where) {
    return members().stream()
        .filter(member -> member.dataCentre().equals(where))
        .filter(member -> member.state() == MemberState.LIVE)
        .map(Member::vm)
        .collect(Collectors.toSet());
  }

  private Member member(VmEntry vm) {
    Sighting seen = sightings.get(vm.getName());
    long bootId = seen == null ? 0 : seen.bootId();
    return new Member(vm.getName(), vm.getDataCentre(), vm.getAddress(), bootId, state(vm, seen));
  }

  private MemberState state(VmEntry vm, @Nullable Sighting seen) {
    boolean leaving = vm.getState() == VmState.VM_STATE_LEAVING;
    if (vm.getName().equals(self)) {
      return leaving ? MemberState.LEAVING : MemberState.LIVE;
    }
    if (isSuspected(vm.getName())) {
      return leaving ? MemberState.LEAVING : MemberState.LOST;
    }
    if (seen != null && clock.nowMs() - seen.heardMs() < validMs(seen)) {
      return leaving || seen.leaving() ? MemberState.LEAVING : MemberState.LIVE;
    }
    MemberSighting reported = updated.get(vm.getName());
    if (reported != null && vm.getDataCentre().equals(dataCentre)) {
      return leaving || reported.getLeaving() ? MemberState.LEAVING : MemberState.LIVE;
    }
    if (leaving) {
      return MemberState.LEAVING;
    }
    long sinceMs = listedSinceMs.getOrDefault(vm.getName(), 0L);
    boolean fresh = clock.nowMs() - sinceMs < lostAfterMs;
    boolean otherDataCentre = !vm.getDataCentre().equals(dataCentre);
    return fresh || otherDataCentre ? MemberState.LISTED : MemberState.LOST;
  }
}
