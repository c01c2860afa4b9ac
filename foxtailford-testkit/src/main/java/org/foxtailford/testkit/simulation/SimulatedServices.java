package org.foxtailford.testkit.simulation;

import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;

/** The services, the first configuration and the VM list of a simulated system. */
final class SimulatedServices {

  static final String KEYED = "menu-planning";
  static final String UNKEYED = "pantry";
  static final String IDEMPOTENT_KIND = "lookup";
  static final String NON_IDEMPOTENT_KIND = "plan";

  private SimulatedServices() {}

  /** Returns the configuration before operators change it. */
  static ConfigurationDocument configuration(int slices) {
    ServiceDefinition keyed =
        ServiceDefinition.newBuilder()
            .setName(KEYED)
            .setKeyed(true)
            .setSelector("vm")
            .setUpstreamsCheckFences(true)
            .setInitialSlices(slices)
            .addKinds(RequestKind.newBuilder().setName(IDEMPOTENT_KIND).setIdempotent(true))
            .addKinds(RequestKind.newBuilder().setName(NON_IDEMPOTENT_KIND))
            .build();
    ServiceDefinition unkeyed =
        ServiceDefinition.newBuilder()
            .setName(UNKEYED)
            .setSelector("vm")
            .setSlotsPerUpstream(SimulatedWork.SLOTS)
            .addAllKinds(keyed.getKindsList())
            .build();
    return ConfigurationDocument.newBuilder().addServices(keyed).addServices(unkeyed).build();
  }

  /** Returns the VM list with every upstream live. */
  static VmList vms(SystemLayout layout) {
    VmList.Builder vms = VmList.newBuilder();
    for (int i = 0; i < layout.upstreams(); i++) {
      vms.addVms(
          VmEntry.newBuilder()
              .setName("upstream-" + i)
              .setDataCentre(layout.dataCentreOf(i))
              .setRole(VmRole.VM_ROLE_UPSTREAM)
              .setState(VmState.VM_STATE_LIVE));
    }
    return vms.build();
  }

  /** Returns the first configuration joined with the VM list. */
  static ConfigurationView view(SystemLayout layout) {
    return ConfigurationView.of(1, configuration(layout.slices()), vms(layout));
  }
}
