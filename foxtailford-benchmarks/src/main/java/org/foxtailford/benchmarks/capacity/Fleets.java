package org.foxtailford.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.LabelledVm;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.ServiceAssignment;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;

/** Configurations and owners of a given size. */
final class Fleets {

  static final String SERVICE = "menu-planning";
  static final String KIND = "lookup";
  static final String DATA_CENTRE = "dc-a";
  private static final int UPSTREAM_PORT = 8080;

  private Fleets() {}

  static String upstream(int i) {
    return String.format("upstream-%05d", i);
  }

  static VmList vmList(int upstreams) {
    VmList.Builder vms = VmList.newBuilder();
    for (int i = 0; i < upstreams; i++) {
      vms.addVms(
          VmEntry.newBuilder()
              .setName(upstream(i))
              .setDataCentre(DATA_CENTRE)
              .setRole(VmRole.VM_ROLE_UPSTREAM)
              .setState(VmState.VM_STATE_LIVE)
              .setAddress(Endpoint.newBuilder().setHost("10.1.2.3").setPort(UPSTREAM_PORT)));
    }
    return vms.build();
  }

  static ConfigurationDocument document(int labelledVms, int slices) {
    ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
    document.addServices(
        ServiceDefinition.newBuilder()
            .setName(SERVICE)
            .setKeyed(true)
            .setSelector("tier=gold")
            .setInitialSlices(slices)
            .addKinds(RequestKind.newBuilder().setName(KIND).setIdempotent(true)));
    for (int i = 0; i < labelledVms; i++) {
      document.addVms(LabelledVm.newBuilder().setName(upstream(i)).putLabels("tier", "gold"));
    }
    return document.build();
  }

  static RequestAttributes request(String key) {
    return new RequestAttributes(
        SERVICE, KIND, Optional.of(key), Optional.empty(), Long.MAX_VALUE, 0);
  }

  static ConfigurationView configuration(int upstreams, int slices) {
    return ConfigurationView.of(1, document(upstreams, slices), vmList(upstreams));
  }

  static OwnershipCheckpoint checkpoint(int upstreams, int slices) {
    List<SliceRange> ranges = SliceRange.divide(slices);
    List<SliceAssignment> assignments = new ArrayList<>();
    for (int i = 0; i < slices; i++) {
      assignments.add(
          new SliceAssignment(ranges.get(i), upstream(i % upstreams), new Fence(1, i + 1)));
    }
    ServiceAssignment.Builder service = ServiceAssignment.newBuilder().setService(SERVICE);
    assignments.forEach(assignment -> service.addSlices(assignment.toValue()));
    return OwnershipCheckpoint.newBuilder()
        .setDataCentre(DATA_CENTRE)
        .setEpoch(1)
        .setSequence(1)
        .addServices(service)
        .build();
  }
}
