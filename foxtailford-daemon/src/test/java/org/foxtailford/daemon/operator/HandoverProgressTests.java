package org.foxtailford.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.UnaryOperator;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.daemon.operator.HandoverProgress.Counts;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.HomeRange;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.ServiceAssignment;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.testng.annotations.Test;

public class HandoverProgressTests {

  private static final int SLICES = 4;

  private static HomeRanges homes(UnaryOperator<HomeRange> changeToSecond) {
    HomeRanges initial = HomeDirectory.initial("menu", SLICES, List.of("a", "b"));
    return initial.toBuilder().setRanges(1, changeToSecond.apply(initial.getRanges(1))).build();
  }

  private static HandoverProgress progress(HomeRanges homes, String... out) {
    return new HandoverProgress(
        new RoutingSnapshot(
            "a", configuration(out), HomeDirectory.of(List.of(homes)), OwnershipMap.empty("a")));
  }

  private static ConfigurationView configuration(String... out) {
    ConfigurationDocument.Builder document =
        ConfigurationDocument.newBuilder()
            .addServices(
                ServiceDefinition.newBuilder()
                    .setName("menu")
                    .setKeyed(true)
                    .setSelector("service=menu")
                    .setInitialSlices(SLICES));
    VmList.Builder vms = VmList.newBuilder();
    for (String dataCentre : List.of("a", "b")) {
      document.addVms(
          LabelledVm.newBuilder().setName("menu-" + dataCentre).putLabels("service", "menu"));
      vms.addVms(
          VmEntry.newBuilder()
              .setName("menu-" + dataCentre)
              .setDataCentre(dataCentre)
              .setRole(VmRole.VM_ROLE_UPSTREAM)
              .setState(VmState.VM_STATE_LIVE));
    }
    for (String name : out) {
      document.addDataCentres(LabelledDataCentre.newBuilder().setName(name).setOut(true));
    }
    return ConfigurationView.of(1, document.build(), vms.build());
  }

  @Test
  public void slicesOfADataCentreThatIsOutCountAsLeavingBeforeATargetIsChosen() {
    HandoverProgress progress = progress(homes(home -> home), "b");
    assertThat(progress.countsOf("b")).isEqualTo(new Counts(2, 2, 0, 0));
    assertThat(progress.countsOf("a").arriving()).isZero();
  }

  @Test
  public void chosenTargetCountsTheSlicesAsArriving() {
    HandoverProgress progress =
        progress(homes(home -> home.toBuilder().setMovingTo("a").build()), "b");
    assertThat(progress.countsOf("b")).isEqualTo(new Counts(2, 2, 0, 0));
    assertThat(progress.countsOf("a").arriving()).isEqualTo(2);
  }

  @Test
  public void slicesMoveBackToAPreferredDataCentreThatIsAvailableAgain() {
    UnaryOperator<HomeRange> displaced =
        home -> home.toBuilder().setDataCentre("a").setPreferred("b").build();
    assertThat(progress(homes(displaced)).countsOf("b").arriving()).isEqualTo(2);
    assertThat(progress(homes(displaced)).countsOf("a").leaving()).isEqualTo(2);
    assertThat(progress(homes(displaced), "b").countsOf("a").leaving()).isZero();
  }

  @Test
  public void slicesWithoutAnyAvailableDataCentreAreNotPending() {
    HandoverProgress progress = progress(homes(home -> home), "a", "b");
    assertThat(progress.countsOf("a")).isEqualTo(new Counts(2, 0, 0, 0));
    assertThat(progress.countsOf("b")).isEqualTo(new Counts(2, 0, 0, 0));
  }

  @Test
  public void onlyOwnSlicesThatStayCountAsUnowned() {
    assertThat(progress(homes(home -> home)).countsOf("a").unowned()).isEqualTo(2);
    assertThat(progress(homes(home -> home)).countsOf("b").unowned()).isZero();
    assertThat(progress(homes(home -> home), "a").countsOf("a").unowned()).isZero();
  }

  @Test
  public void ownedSlicesAreNotPending() {
    OwnershipCheckpoint owners =
        OwnershipCheckpoint.newBuilder()
            .setDataCentre("a")
            .setEpoch(1)
            .setSequence(9)
            .addServices(
                ServiceAssignment.newBuilder()
                    .setService("menu")
                    .addSlices(
                        new SliceAssignment(SliceRange.ALL, "menu-a", new Fence(1, 1)).toValue()))
            .build();
    HandoverProgress progress =
        new HandoverProgress(
            new RoutingSnapshot(
                "a",
                configuration(),
                HomeDirectory.of(List.of(homes(home -> home))),
                OwnershipMap.of(owners)));
    assertThat(progress.countsOf("a")).isEqualTo(new Counts(2, 0, 0, 0));
  }
}
