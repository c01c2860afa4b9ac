package org.foxtailford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.LabelledVm;

class ConfigurationPropagationProperties {

  private static final long TARGET_MS = 9000;
  private static final long ROUND_MS = 700;

  @Property(seed = "9", tries = 300)
  void versionsNeverDecreaseAndAllNodesConvergeOnceFaultsEnd(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 3) int dataCentres,
      @ForAll @IntRange(min = 1, max = 12) int nodesPerDataCentre) {
    Random random = new Random(seed);
    PropagationNetwork network =
        new PropagationNetwork(random, new PropagationTiming(1000, 2500, 3500, 2, 4), 2);
    network.addDataCentres(dataCentres, nodesPerDataCentre);
    ConfigurationDocument document = ConfigurationDocument.getDefaultInstance();
    for (int round = 0; round < 25; round++) {
      document = withRandomChange(document, round, random);
      network.accept(ConfigurationRecord.newBuilder().setDocument(document).build());
      injectFaults(network, random);
      network.runUntil(network.nowMs() + ROUND_MS);
    }
    network.removeFaults();
    network.runUntil(network.nowMs() + TARGET_MS);
    assertThat(network.isActiveEverywhere()).isTrue();
  }

  @Property(seed = "9", tries = 200)
  void versionIsActiveInTimeWithOneNodeInThreeCutOffFromTheTable(@ForAll long seed) {
    Random random = new Random(seed);
    PropagationNetwork network =
        new PropagationNetwork(random, PropagationTiming.DEFAULT, DisseminationTree.FAN_OUT);
    network.addDataCentres(2, 30);
    network.runUntil(5000);
    selectAtRandom(network, network.withoutTable(), random, 3);
    network.setLossRate(0.1);
    network.accept(ConfigurationRecord.getDefaultInstance());
    network.runUntil(network.nowMs() + TARGET_MS);
    assertThat(network.isActiveEverywhere()).isTrue();
  }

  private static void injectFaults(PropagationNetwork network, Random random) {
    network.setLossRate(random.nextInt(3) * 0.3);
    selectAtRandom(network, network.cutOff(), random, 4);
    selectAtRandom(network, network.withoutTable(), random, 2);
    selectAtRandom(network, network.paused(), random, 6);
    for (String name : network.names()) {
      if (random.nextInt(20) == 0) {
        network.restart(name);
      }
    }
  }

  private static void selectAtRandom(
      PropagationNetwork network, Set<String> names, Random random, int oneIn) {
    names.clear();
    network.names().stream().filter(name -> random.nextInt(oneIn) == 0).forEach(names::add);
  }

  private static ConfigurationDocument withRandomChange(
      ConfigurationDocument document, int round, Random random) {
    ConfigurationDocument.Builder next = document.toBuilder();
    int vmCount = next.getVmsCount();
    if (vmCount == 0 || random.nextBoolean()) {
      next.addVms(LabelledVm.newBuilder().setName(String.format("vm-%03d", round)));
    } else if (random.nextBoolean()) {
      next.removeVms(random.nextInt(vmCount));
    } else {
      LabelledVm.Builder vm = next.getVmsBuilder(random.nextInt(vmCount));
      vm.setDraining(!vm.getDraining());
    }
    return ConfigurationDocuments.canonicalize(next.build());
  }
}
