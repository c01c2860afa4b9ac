package org.foxtailford.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.ServiceAssignment;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class GrantTimesTests {

  private OwnershipMap currentOwners;
  private long nowMs;
  private GrantTimes times;

  @BeforeMethod
  public void setUp() {
    currentOwners = OwnershipMap.empty("a");
    nowMs = 1000;
    times = new GrantTimes(() -> currentOwners, () -> nowMs);
  }

  private static OwnershipCheckpoint version(long epoch, long sequence, Fence fence) {
    return OwnershipCheckpoint.newBuilder()
        .setDataCentre("a")
        .setEpoch(epoch)
        .setSequence(sequence)
        .addServices(
            ServiceAssignment.newBuilder()
                .setService("menu")
                .addSlices(new SliceAssignment(SliceRange.ALL, "u1", fence).toValue()))
        .build();
  }

  private long recordedGrantMs(OwnershipCheckpoint version) {
    currentOwners = OwnershipMap.of(times.withGrantTimes(version));
    return currentOwners.owner("menu", 0).orElseThrow().grantedAtMs();
  }

  @Test
  public void newOwnerIsStampedWithTheCurrentTime() {
    assertThat(recordedGrantMs(version(1, 2, new Fence(1, 1)))).isEqualTo(1000);
  }

  @Test
  public void ownerKeepsItsGrantTimeWhileItsFenceIsUnchanged() {
    recordedGrantMs(version(1, 2, new Fence(1, 1)));
    nowMs = 5000;
    assertThat(recordedGrantMs(version(1, 3, new Fence(1, 1)))).isEqualTo(1000);
    assertThat(recordedGrantMs(version(1, 5, new Fence(1, 4)))).isEqualTo(5000);
  }

  @Test
  public void nextLeaderKeepsTheGrantTimeOfAnUnchangedOwner() {
    recordedGrantMs(version(1, 2, new Fence(1, 1)));
    nowMs = 5000;
    assertThat(recordedGrantMs(version(2, 1, new Fence(1, 1)))).isEqualTo(1000);
  }

  @Test
  public void unknownGrantTimeOfAnInheritedOwnerStaysUnknown() {
    assertThat(recordedGrantMs(version(2, 1, new Fence(1, 1)))).isZero();
    nowMs = 5000;
    assertThat(recordedGrantMs(version(2, 2, new Fence(1, 1)))).isZero();
  }
}
