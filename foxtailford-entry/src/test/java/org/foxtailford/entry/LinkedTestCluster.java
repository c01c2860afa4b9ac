package org.foxtailford.entry;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.TcpLinkStandIn;

/** Entry VMs that each reach the upstreams over links of their own, which can be cut. */
final class LinkedTestCluster implements AutoCloseable {

  static final List<String> PLAIN = List.of("p1", "p2", "p3", "p4", "p5", "p6");
  static final List<String> KEYED = List.of("k1", "k2", "k3");

  private final EntryTestCluster cluster = new EntryTestCluster();
  private final Map<Integer, List<TcpLinkStandIn>> links = new ConcurrentHashMap<>();
  private final Map<Integer, Map<Integer, TcpLinkStandIn>> linksByTarget =
      new ConcurrentHashMap<>();
  private final Map<Integer, Long> lastVersions = new ConcurrentHashMap<>();
  private final List<EntryVm> vms = new ArrayList<>();

  /** Starts VMs and waits until they serve requests of all kinds. */
  LinkedTestCluster(int count) throws Exception {
    this(Collections.nCopies(count, EntryTestCluster.DATA_CENTRE));
  }

  /**
   * Starts VMs and waits until they serve requests of all kinds.
   *
   * @param dataCentres data centre of each VM
   */
  LinkedTestCluster(List<String> dataCentres) throws Exception {
    int count = dataCentres.size();
    cluster.configure(4);
    for (String id : PLAIN) {
      cluster.addUpstream(id, "plain");
    }
    for (String id : KEYED) {
      cluster.addUpstream(id, "keyed");
    }
    for (int vm = 0; vm < count; vm++) {
      addVm(vm, dataCentres.get(vm));
    }
    for (int vm = 0; vm < count; vm++) {
      int number = vm;
      EntryTestCluster.await("ready", () -> cluster.readiness(number) == 200);
      EntryTestCluster.await(
          "served",
          () -> cluster.get(number, "/keyed/x", "ready" + System.nanoTime()).status() == 200);
    }
  }

  private void addVm(int vm, String dataCentre) throws IOException {
    Map<Integer, Integer> portByTarget = new HashMap<>();
    links.put(vm, new ArrayList<>());
    linksByTarget.put(vm, new ConcurrentHashMap<>());
    vms.add(
        cluster.addVm(
            "vm-" + (vm + 1),
            dataCentre,
            vm == 0 ? List.of() : List.of(cluster.settings(0).peers()),
            cluster.storeAddress(),
            new LinkedRows(
                target -> portByTarget.computeIfAbsent(target, t -> link(vm, t)),
                () -> lastVersions.getOrDefault(vm, Long.MAX_VALUE))));
  }

  private int link(int vm, int targetPort) {
    try {
      TcpLinkStandIn link = new TcpLinkStandIn(targetPort);
      links.get(vm).add(link);
      linksByTarget.get(vm).put(targetPort, link);
      return link.port();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Changes the links of a VM to all upstreams. */
  void setLinks(int vm, TcpLinkStandIn.State state) {
    links.get(vm).forEach(link -> link.setState(state));
  }

  /** Changes the link of a VM to one upstream. */
  void setLink(int vm, String upstream, TcpLinkStandIn.State state) {
    linksByTarget.get(vm).get(cluster.upstream(upstream).port()).setState(state);
  }

  /** Keeps a VM from taking in configurations after a version. */
  void keepBehind(int vm, long lastVersion) {
    lastVersions.put(vm, lastVersion);
  }

  /** Returns the cluster without its links. */
  EntryTestCluster cluster() {
    return cluster;
  }

  /** Ends a VM at once. */
  void end(int vm) {
    vms.get(vm).close();
  }

  CompletableFuture<HttpAnswer> send(int vm, HttpMethod method, String path, String id) {
    return cluster.send(vm, method, path, id, method.equals(HttpMethod.POST) ? "body" : "");
  }

  /** Returns the number of the VM that leads. */
  int leader() throws InterruptedException {
    EntryTestCluster.await("one leader", () -> leaders().size() == 1);
    return leaders().get(0);
  }

  private List<Integer> leaders() {
    List<Integer> leaders = new ArrayList<>();
    for (int vm = 0; vm < vms.size(); vm++) {
      if (cluster.metrics(vm).contains("foxtailford_leads 1")) {
        leaders.add(vm);
      }
    }
    return leaders;
  }

  /** Returns whether a VM takes itself for cut off from the upstreams. */
  boolean isCutOff(int vm) {
    return cluster.metrics(vm).contains("foxtailford_upstreams_cut_off 1");
  }

  /** Returns how many times all upstreams without keys have run each request. */
  Map<String, Integer> runCounts() {
    Map<String, Integer> runs = new HashMap<>();
    for (String id : PLAIN) {
      cluster
          .upstream(id)
          .runCounts()
          .forEach((request, n) -> runs.merge(request, n, Integer::sum));
    }
    return runs;
  }

  @Override
  public void close() {
    cluster.close();
    links.values().forEach(all -> all.forEach(TcpLinkStandIn::close));
    sleep(50);
  }

  static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
