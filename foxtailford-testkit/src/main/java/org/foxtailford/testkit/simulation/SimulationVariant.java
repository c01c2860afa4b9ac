package org.foxtailford.testkit.simulation;

import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.poison.PoisonVerdict;
import org.foxtailford.core.result.ResultCode;
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

  /**
   * Returns the configuration that an entry VM uses.
   *
   * @param used the one that it used so far
   * @param next the one that it would use from now on
   */
  default ConfigurationView onConfiguration(ConfigurationView used, ConfigurationView next) {
    return next;
  }

  /** Tells whether requests that are not idempotent run only under a claim. */
  default boolean claimsRequests() {
    return true;
  }

  /** Tells whether upstreams that may be cold are guarded. */
  default boolean guardsColdStarts() {
    return true;
  }

  /** Returns the table as operators reach it. */
  default TableService operatorTable(TableService table) {
    return table;
  }

  /** Tells whether entry VMs see how long upstreams take. */
  default boolean seesLatency() {
    return true;
  }

  /** Returns what an entry VM takes for known of a request. */
  default PoisonVerdict onVerdict(PoisonVerdict verdict) {
    return verdict;
  }

  /** Returns the result of a request as its caller is told. */
  default ResultCode onResult(ResultCode code) {
    return code;
  }

  /** Tells whether leaders also split and merge slices without need while faults last. */
  default boolean changesLayouts() {
    return false;
  }
}
