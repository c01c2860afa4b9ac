package org.foxtailford.benchmarks.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;

/** The upstreams of one customer and the ways to them. */
final class ModelFleet {

  static final String KIND = "run";
  private static final long LOCAL_ONE_WAY_MICROS = 100;

  private final CustomerSize size;
  private final List<ModelUpstream> upstreams = new ArrayList<>();
  private final Map<String, Integer> numbers = new HashMap<>();
  private final Map<CustomerSize.Pool, List<String>> names = new HashMap<>();

  ModelFleet(CustomerSize size, EventQueue events, Random random, int upstreamQueue) {
    this.size = size;
    for (CustomerSize.Pool pool : size.pools()) {
      List<String> poolNames = new ArrayList<>();
      for (int i = 0; i < pool.upstreams(); i++) {
        String name = pool.name() + "-" + i;
        numbers.put(name, upstreams.size());
        upstreams.add(new ModelUpstream(events, random, size.slots(), upstreamQueue));
        poolNames.add(name);
      }
      names.put(pool, poolNames);
    }
  }

  List<ModelUpstream> upstreams() {
    return upstreams;
  }

  List<String> namesOf(CustomerSize.Pool pool) {
    return names.get(pool);
  }

  CompletableFuture<HttpAnswer> send(String name, int entryVm) {
    return send(numbers.get(name), entryVm);
  }

  CompletableFuture<HttpAnswer> send(int number, int entryVm) {
    boolean local = size.dataCentreOf(number).equals(size.dataCentreOf(entryVm));
    return upstreams.get(number).send(local ? LOCAL_ONE_WAY_MICROS : size.remoteOneWayMicros());
  }

  /** Returns the configuration that describes the upstreams; a port is a number plus one. */
  ConfigurationView configuration() {
    ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
    VmList.Builder vms = VmList.newBuilder();
    for (CustomerSize.Pool pool : size.pools()) {
      document.addServices(
          ServiceDefinition.newBuilder()
              .setName(pool.name())
              .setSelector("service=" + pool.name())
              .setSlotsPerUpstream(size.slots())
              .addKinds(
                  RequestKind.newBuilder()
                      .setName(KIND)
                      .setIdempotent(pool.idempotent())
                      .setWorth(50)));
      for (String name : names.get(pool)) {
        int number = numbers.get(name);
        document.addVms(LabelledVm.newBuilder().setName(name).putLabels("service", pool.name()));
        vms.addVms(
            VmEntry.newBuilder()
                .setName(name)
                .setDataCentre(size.dataCentreOf(number))
                .setRole(VmRole.VM_ROLE_UPSTREAM)
                .setState(VmState.VM_STATE_LIVE)
                .setAddress(Endpoint.newBuilder().setHost("127.0.0.1").setPort(number + 1)));
      }
    }
    return ConfigurationView.of(1, document.build(), vms.build());
  }
}
