package org.foxtailford.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.LabelledVm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigurationPropagationTests {

  private static final int CHANGES = 20;
  private static final long CHANGE_INTERVAL_MS = 4800;
  private static final long STEP_MS = 10;
  private static final long TARGET_MS = 9000;
  private static final int TABLE_READS_PER_SECOND = 100;
  private static final int VMS = 4100;
  private static final int BYTES_PER_SECOND = 1000;

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{2, 5}, {4, 50}, {11, 373}};
  }

  @Test(dataProvider = "sizes")
  public void changesAreActiveEverywhereInTimeAndWithinTheBudgets(int dataCentres, int nodes) {
    PropagationNetwork network =
        new PropagationNetwork(
            new Random(4100), PropagationTiming.DEFAULT, DisseminationTree.FAN_OUT);
    network.addDataCentres(dataCentres, nodes);
    network.accept(ConfigurationRecord.getDefaultInstance());
    network.runUntil(10_000);
    assertThat(network.isActiveEverywhere()).isTrue();
    final long readsBefore = network.tableReads();
    final long bytesBefore = network.messageBytes();
    final long startedMs = network.nowMs();
    long slowestMs = 0;
    for (int i = 0; i < CHANGES; i++) {
      network.accept(change(i));
      slowestMs = Math.max(slowestMs, activationTimeMs(network));
      network.runUntil(startedMs + (i + 1) * CHANGE_INTERVAL_MS);
    }
    double seconds = (network.nowMs() - startedMs) / 1000.0;
    double reads = (network.tableReads() - readsBefore) / seconds;
    double bytes = (network.messageBytes() - bytesBefore) / seconds / (dataCentres * nodes);
    System.out.printf(
        "configuration propagation: %d nodes, slowest of %d changes %d ms, %.1f table reads/s, "
            + "%.1f bytes/s a node%n",
        dataCentres * nodes, CHANGES, slowestMs, reads, bytes);
    assertThat(slowestMs).isLessThan(TARGET_MS);
    assertThat(reads).isLessThan(TABLE_READS_PER_SECOND);
    assertThat(bytes).isLessThan(BYTES_PER_SECOND);
  }

  @Test
  public void deltaOfOneVmIsSmallComparedWithTheDocument() {
    ConfigurationVersion from = version(1, false);
    ConfigurationVersion to = version(2, true);
    int documentBytes = to.getSerializedSize();
    int deltaBytes = ConfigurationDeltas.between(from, to).getSerializedSize();
    System.out.printf(
        "configuration of %d VMs: %d bytes, delta %d bytes%n", VMS, documentBytes, deltaBytes);
    assertThat(deltaBytes).isLessThan(300);
    assertThat(documentBytes).isGreaterThan(100 * deltaBytes);
  }

  private static ConfigurationVersion version(long number, boolean draining) {
    ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
    for (int i = 0; i < VMS; i++) {
      document.addVms(
          LabelledVm.newBuilder()
              .setName(String.format("menu-planning-%04d", i))
              .putLabels("service", "menu-planning")
              .putLabels("tier", "gold")
              .setDraining(i == 0 && draining));
    }
    return ConfigurationVersion.newBuilder()
        .setVersion(number)
        .setRecord(ConfigurationRecord.newBuilder().setWho("operator").setDocument(document))
        .build();
  }

  private static long activationTimeMs(PropagationNetwork network) {
    long startedMs = network.nowMs();
    while (!network.isActiveEverywhere()) {
      network.runUntil(network.nowMs() + STEP_MS);
      assertThat(network.nowMs() - startedMs).isLessThan(TARGET_MS);
    }
    return network.nowMs() - startedMs;
  }

  private static ConfigurationRecord change(int number) {
    ConfigurationDocument document =
        ConfigurationDocument.newBuilder()
            .addVms(LabelledVm.newBuilder().setName("menu-a1").setDraining(number % 2 == 0))
            .build();
    return ConfigurationRecord.newBuilder()
        .setWriteId(number + 1)
        .setBaseVersion(number + 1)
        .setWho("operator")
        .setDocument(document)
        .build();
  }
}
