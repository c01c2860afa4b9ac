package org.foxtailford.entry.settings;

import java.util.List;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * Settings of an entry VM.
 *
 * @param node name of the entry VM; not empty
 * @param dataCentre data centre of the entry VM; not empty
 * @param callers listener address for callers
 * @param readiness listener address for readiness checks
 * @param peers listener address for other entry VMs
 * @param seeds peer addresses of some entry VMs; may be outdated or empty
 * @param store address of the platform's store
 * @param metricsPort port of the metrics on the callers' host; 0 for none
 * @param processorShare processor capacity of this VM, in cores; positive
 * @param linkMbps bandwidth of this VM's link, in Mbit/s; positive
 * @param firstStart whether the whole system starts for the first time
 * @param bounds limits that the operators of the system have agreed on
 * @param tenants limits that apply if the configuration has tenants
 * @param costAware whether upstreams are chosen by the expected cost of requests
 */
public record EntrySettings(
    String node,
    String dataCentre,
    UpstreamAddress callers,
    UpstreamAddress readiness,
    UpstreamAddress peers,
    List<UpstreamAddress> seeds,
    UpstreamAddress store,
    int metricsPort,
    double processorShare,
    double linkMbps,
    boolean firstStart,
    Bounds bounds,
    TenantBounds tenants,
    boolean costAware) {

  /**
   * Limits that apply to all entry VMs together.
   *
   * @param retryRatio allowed retries per request
   * @param retrySlack allowed retries per window in addition
   * @param retryWindowMs window length, in milliseconds
   * @param coldRatio allowed requests to a cold upstream, as a multiple of its cold rate
   * @param coldSlack allowed requests to a cold upstream in addition
   * @param maxGrantTtlMs maximum grant TTL, in milliseconds
   * @param drainMs time after an upstream's leaving is known in which the last request must reach
   *     it, in milliseconds
   * @param stopMs time from the stop signal to the end of the process, in milliseconds
   */
  public record Bounds(
      double retryRatio,
      double retrySlack,
      long retryWindowMs,
      double coldRatio,
      double coldSlack,
      long maxGrantTtlMs,
      long drainMs,
      long stopMs) {}

  /**
   * Limits on how tenants' keys and allotments are applied by all entry VMs together.
   *
   * @param failClosed whether keys are refused while the configuration can't be confirmed
   * @param revokeMs age of the configuration from which it counts as unconfirmed, in milliseconds
   * @param quotaWindowMs length of the window over which an allotment is measured, in milliseconds
   * @param quotaOverrun fraction of an allotment by which it may be exceeded in a window
   * @param quotaSlack requests by which an allotment may be exceeded in a window in addition
   */
  public record TenantBounds(
      boolean failClosed,
      long revokeMs,
      long quotaWindowMs,
      double quotaOverrun,
      double quotaSlack) {

    /** Limits that apply where the settings name none. */
    public static final TenantBounds DEFAULT = new TenantBounds(false, 5000, 5000, 0.1, 20);
  }

  /** Validates the names and capacities and copies the seeds. */
  public EntrySettings {
    Assert.hasLength(node, "node");
    Assert.hasLength(dataCentre, "dataCentre");
    Assert.isTrue(processorShare > 0, "processorShare must be positive");
    Assert.isTrue(linkMbps > 0, "linkMbps must be positive");
    seeds = List.copyOf(seeds);
  }
}
