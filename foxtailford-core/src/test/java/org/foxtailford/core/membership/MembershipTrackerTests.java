package org.foxtailford.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.schema.FenceValue;
import org.foxtailford.schema.MemberSighting;
import org.foxtailford.schema.MembershipUpdate;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MembershipTrackerTests {

  private static final long LOST_AFTER_MS = 1500;

  private final AtomicLong nowMs = new AtomicLong();
  private MembershipTracker tracker;

  @BeforeMethod
  public void createTracker() {
    nowMs.set(0);
    tracker = new MembershipTracker("a1", "dc-a", LOST_AFTER_MS, nowMs::get);
    tracker.onVmList(list(VmState.VM_STATE_LIVE, "a1", "a2", "a3"));
  }

  @Test
  public void listedVmIsUsableUntilItHasBeenSilentForTheLimit() {
    assertThat(tracker.usableVms("dc-a")).containsExactly("a1", "a2", "a3");
    nowMs.set(LOST_AFTER_MS);
    assertThat(tracker.usableVms("dc-a")).containsExactly("a1");
  }

  @Test
  public void lostVmIsUsableAgainAfterADirectSighting() {
    nowMs.set(LOST_AFTER_MS);
    tracker.onDirectSighting("a2", 7, false);
    assertThat(tracker.usableVms("dc-a")).containsExactly("a1", "a2");
  }

  @Test
  public void leavingVmIsNotUsable() {
    tracker.onDirectSighting("a2", 7, true);
    assertThat(tracker.usableVms("dc-a")).containsExactly("a1", "a3");
  }

  @Test
  public void olderSightingDoesNotReplaceANewerOne() {
    nowMs.set(1000);
    tracker.onDirectSighting("a2", 8, false);
    tracker.onSightings(List.of(sighting("a2", 7, 500)));
    assertThat(member("a2").bootId()).isEqualTo(8);
  }

  @Test
  public void leadersUpdateDecidesForVmsWithoutADirectSighting() {
    nowMs.set(LOST_AFTER_MS);
    assertThat(tracker.onUpdate(update(1, "a3"))).isTrue();
    assertThat(tracker.usableVms("dc-a")).containsExactly("a1", "a3");
    assertThat(tracker.leader()).contains("a3");
  }

  @Test
  public void olderUpdateIsIgnored() {
    tracker.onUpdate(update(2, "a3"));
    assertThat(tracker.onUpdate(update(1, "a2"))).isFalse();
  }

  @Test
  public void vmThatThePlatformNoLongerListsIsNotAMember() {
    tracker.onVmList(list(VmState.VM_STATE_LIVE, "a1", "a2"));
    assertThat(tracker.usableVms("dc-a")).containsExactly("a1", "a2");
  }

  private Member member(String vm) {
    return tracker.members().stream().filter(m -> m.vm().equals(vm)).findFirst().orElseThrow();
  }

  private static MembershipUpdate update(long sequence, String member) {
    return MembershipUpdate.newBuilder()
        .setDataCentre("dc-a")
        .setLeader(member)
        .setVersion(FenceValue.newBuilder().setEpoch(1).setSequence(sequence))
        .addMembers(sighting(member, 1, 0))
        .build();
  }

  private static MemberSighting sighting(String vm, long bootId, int ageMs) {
    return MemberSighting.newBuilder().setVm(vm).setBootId(bootId).setAgeMs(ageMs).build();
  }

  private static VmList list(VmState state, String... names) {
    VmList.Builder list = VmList.newBuilder();
    for (String name : names) {
      list.addVms(
          VmEntry.newBuilder()
              .setName(name)
              .setDataCentre("dc-a")
              .setRole(VmRole.VM_ROLE_ENTRY)
              .setState(state));
    }
    return list.build();
  }
}
