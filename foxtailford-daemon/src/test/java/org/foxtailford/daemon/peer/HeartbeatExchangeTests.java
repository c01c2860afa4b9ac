package org.foxtailford.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import org.foxtailford.core.ownership.Fence;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class HeartbeatExchangeTests {

  private static final int CONTROL_BYTES_PER_SECOND = 8192;
  private static final int STABILIZATION_ROUNDS = 20;

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1}, {10}, {100}, {370}};
  }

  @Test(dataProvider = "sizes")
  public void everyVmDetectsAllLiveVms(int size) {
    HeartbeatMesh mesh = new HeartbeatMesh(size);
    mesh.setLeader("vm-0");
    mesh.run(STABILIZATION_ROUNDS);
    assertThat(mesh.nodes().values())
        .allSatisfy(node -> assertThat(node.tracker().liveVms("dc")).hasSize(size));
  }

  @Test(dataProvider = "sizes")
  public void heartbeatTrafficStaysUnderControlBudgetOnceMembershipIsStable(int size) {
    HeartbeatMesh mesh = new HeartbeatMesh(size);
    mesh.setLeader("vm-0");
    mesh.run(STABILIZATION_ROUNDS);
    mesh.bytesReceived().clear();
    int rounds = 20;
    mesh.run(rounds);
    long maxBytes = size == 1 ? 0 : Collections.max(mesh.bytesReceived().values());
    double seconds = rounds * HeartbeatMesh.INTERVAL_MS / 1000.0;
    assertThat(maxBytes / seconds).isLessThan(CONTROL_BYTES_PER_SECOND);
  }

  @Test(dataProvider = "sizes")
  public void heartbeatsDisseminateOwnersToEveryVm(int size) {
    HeartbeatMesh mesh = new HeartbeatMesh(size);
    mesh.setLeader("vm-0");
    mesh.run(STABILIZATION_ROUNDS);
    mesh.nodes().get("vm-0").publish(7);
    mesh.run(8);
    assertThat(mesh.nodes().values())
        .allSatisfy(node -> assertThat(node.feed().current().version()).isEqualTo(new Fence(1, 7)));
  }

  @Test
  public void everyVmRemovesStoppedVm() {
    HeartbeatMesh mesh = new HeartbeatMesh(40);
    mesh.setLeader("vm-0");
    mesh.run(STABILIZATION_ROUNDS);
    mesh.stopped().add("vm-17");
    mesh.run(STABILIZATION_ROUNDS);
    mesh.nodes().remove("vm-17");
    assertThat(mesh.nodes().values())
        .allSatisfy(node -> assertThat(node.tracker().liveVms("dc")).hasSize(39));
  }

  @Test
  public void remainingVmsStayConnectedAfterLossOfLeader() {
    HeartbeatMesh mesh = new HeartbeatMesh(40);
    mesh.setLeader("vm-0");
    mesh.run(STABILIZATION_ROUNDS);
    mesh.stopped().add("vm-0");
    mesh.run(STABILIZATION_ROUNDS);
    mesh.nodes().get("vm-5").publish(9);
    mesh.run(STABILIZATION_ROUNDS);
    mesh.nodes().remove("vm-0");
    assertThat(mesh.nodes().values())
        .allSatisfy(node -> assertThat(node.feed().current().version()).isEqualTo(new Fence(1, 9)));
  }

  @DataProvider
  public Object[][] vmsThatNeverStart() {
    return new Object[][] {{"vm-0"}, {"vm-1"}, {"vm-2"}};
  }

  @Test(dataProvider = "vmsThatNeverStart")
  public void remainingVmsDetectEachOtherWhenListedVmNeverAnswers(String neverStarted) {
    HeartbeatMesh mesh = new HeartbeatMesh(3);
    mesh.stopped().add(neverStarted);
    mesh.run(STABILIZATION_ROUNDS);
    mesh.nodes().remove(neverStarted);
    assertThat(mesh.nodes().values())
        .allSatisfy(node -> assertThat(node.tracker().liveVms("dc")).hasSize(2));
  }
}
