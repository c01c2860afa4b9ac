package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Integration tests of entry VMs whose store is restored from an older copy. */
public class RestoredStoreEntryTests {

  /** Documented time for which a request waits while its key is being moved, in milliseconds. */
  private static final long MAX_MOVE_MS = 1000;

  private static final int TIMEOUT_MS = 60_000;
  private static final String LEADER_TABLE = "foxtailford-leader";
  private static final String MEMBERS_TABLE = "foxtailford-members";

  private EntryTestCluster cluster;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    for (String id : List.of("k1", "k2", "k3")) {
      cluster.addUpstream(id, "keyed");
    }
    cluster.addUpstream("p1", "plain");
    cluster.addUpstream("p2", "plain");
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    cluster.close();
  }

  private void startVms() throws Exception {
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    cluster.addVm("vm-2", List.of(cluster.settings(0).peers()), cluster.storeAddress());
    EntryTestCluster.await("first VM ready", () -> cluster.readiness(0) == 200);
    EntryTestCluster.await("second VM ready", () -> cluster.readiness(1) == 200);
    awaitOwners();
  }

  private void awaitOwners() throws InterruptedException {
    EntryTestCluster.await("each key has an owner", () -> ownedKeys() == 16);
  }

  private long ownedKeys() {
    return sampleKeys().filter(key -> owners(key) == 1).count();
  }

  private static IntStream sampleKeys() {
    return IntStream.iterate(5, key -> key < 65536, key -> key + 4096);
  }

  private long owners(int key) {
    long owners =
        List.of("k1", "k2", "k3").stream().filter(id -> cluster.upstream(id).holds(key)).count();
    assertThat(owners).as("owners of key %d", key).isLessThanOrEqualTo(1);
    return owners;
  }

  /** Checks that a key has no owner for no longer than requests for it wait during a move. */
  private void checkOwners(Map<Integer, Long> ownedAtMs) {
    long nowMs = System.currentTimeMillis();
    sampleKeys().filter(key -> owners(key) == 1).forEach(key -> ownedAtMs.put(key, nowMs));
    assertThat(ownedAtMs).hasSize(16);
    assertThat(ownedAtMs.values())
        .allMatch(ownedMs -> nowMs - ownedMs <= MAX_MOVE_MS, "owned in the last second");
  }

  private void writeAgain() {
    for (String id : List.of("k1", "k2", "k3")) {
      cluster.store().put("servers", id, cluster.upstream(id).registration("keyed", "dc", "ready"));
    }
    for (String id : List.of("p1", "p2")) {
      cluster.store().put("servers", id, cluster.upstream(id).registration("plain", "dc", "ready"));
    }
    cluster.configure(4);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void keysAreServedWhileAllRowsOfTheSystemAreLost() throws Exception {
    cluster.store().takeCopy();
    startVms();
    cluster.store().restoreCopy();
    writeAgain();
    Map<Integer, Long> ownedAtMs = new HashMap<>();
    sampleKeys().forEach(key -> ownedAtMs.put(key, System.currentTimeMillis()));
    long untilMs = System.currentTimeMillis() + 6000;
    int round = 0;
    while (System.currentTimeMillis() < untilMs) {
      int vm = round % 2;
      assertThat(cluster.get(vm, "/keyed/x", "drill-" + round).status()).isEqualTo(200);
      assertThat(cluster.get(vm, "/safe/x", "plain-" + round).status()).isEqualTo(200);
      checkOwners(ownedAtMs);
      round++;
      TimeUnit.MILLISECONDS.sleep(20);
    }
    EntryTestCluster.await(
        "leader record and members are written again",
        () ->
            cluster.store().has(LEADER_TABLE, "leader")
                && cluster.store().has(MEMBERS_TABLE, "vm-1")
                && cluster.store().has(MEMBERS_TABLE, "vm-2"));
  }

  @Test(timeOut = TIMEOUT_MS)
  public void drainingHeardBeforeTheRestoreIsObeyedAfterIt() throws Exception {
    startVms();
    cluster.store().takeCopy();
    cluster
        .store()
        .put("servers", "p1", cluster.upstream("p1").registration("plain", "dc", "draining"));
    for (int vm = 0; vm < 2; vm++) {
      int receiver = vm;
      EntryTestCluster.await(
          "p1 gets nothing from VM " + vm,
          () ->
              cluster.get(receiver, "/safe/a", "d" + System.nanoTime()).bodyText().startsWith("p2")
                  && cluster
                      .get(receiver, "/safe/a", "d" + System.nanoTime())
                      .bodyText()
                      .startsWith("p2")
                  && cluster
                      .get(receiver, "/safe/a", "d" + System.nanoTime())
                      .bodyText()
                      .startsWith("p2"));
    }
    TimeUnit.MILLISECONDS.sleep(1500);
    cluster.store().restoreCopy();
    long untilMs = System.currentTimeMillis() + 3000;
    for (int i = 0; System.currentTimeMillis() < untilMs; i++) {
      assertThat(cluster.get(i % 2, "/safe/a", "after-" + i).bodyText()).startsWith("p2");
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void configurationDoesNotGoBackAndALaterOneIsTakenInTheNewEra() throws Exception {
    startVms();
    cluster.store().takeCopy();
    cluster.store().put("op", "config", changedConfiguration(5));
    EntryTestCluster.await(
        "changed route in force on both",
        () ->
            cluster.get(0, "/other/a", "c0").status() == 200
                && cluster.get(1, "/other/a", "c1").status() == 200);
    cluster.store().restoreCopy();
    long untilMs = System.currentTimeMillis() + 2000;
    for (int i = 0; System.currentTimeMillis() < untilMs; i++) {
      assertThat(cluster.get(i % 2, "/other/a", "back-" + i).status()).isEqualTo(200);
    }
    cluster.store().put("op", "config", String.format(EntryTestCluster.CONFIGURATION, 6));
    EntryTestCluster.await(
        "version 6 in force on both",
        () ->
            cluster.get(0, "/other/a", "d0").status() == 404
                && cluster.get(1, "/other/a", "d1").status() == 404);
  }

  private static String changedConfiguration(int version) {
    return String.format(EntryTestCluster.CONFIGURATION, version).replace("/safe/", "/other/");
  }
}
