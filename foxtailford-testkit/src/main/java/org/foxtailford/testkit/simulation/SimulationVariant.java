package org.foxtailford.testkit.simulation;

import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.OwnershipSettings;

/** What a run may change in the simulated system; tests break single rules with it. */
public interface SimulationVariant {

  /** Returns the system as it is built, with the default timing. */
  static SimulationVariant unchanged() {
    return new SimulationVariant() {};
  }

  /** Returns the timing of leases and grants. */
  default OwnershipTiming timing() {
    return OwnershipTiming.of(SettingsDefaults.applyAll(OwnershipSettings.newBuilder()).build());
  }

  /** Returns the timing that one candidate uses. */
  default OwnershipTiming timing(String candidate) {
    return timing();
  }

  /** Returns a grant as an upstream applies it. */
  default GrantRequest onReceipt(GrantRequest request, long upstreamNowMs) {
    return request;
  }

  /** Returns the grants as a leader reaches them. */
  default UpstreamGrants grants(UpstreamGrants grants) {
    return grants;
  }

  /** Tells whether leaders also split and merge slices without need while faults last. */
  default boolean changesLayouts() {
    return false;
  }
}
