package org.foxtailford.entry.settings;

import java.util.List;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * Settings of an entry VM.
 *
 * @param node name of the entry VM
 * @param dataCentre data centre that it runs in
 * @param callers address for callers
 * @param readiness address for questions whether callers may be sent here
 * @param peers address for other entry VMs
 * @param seeds addresses of some entry VMs, which may be out of date
 * @param store address of the platform's store
 * @param metricsPort port of the metrics on the address for callers; 0 for none
 * @param processorShare processor of this VM, in cores
 * @param linkMbps bandwidth of this VM's link, in Mbit/s
 * @param bounds what the operators promise each other
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
    Bounds bounds) {

  /**
   * Bounds that all entry VMs keep together.
   *
   * @param retryRatio sends beyond the first for each request
   * @param retrySlack sends beyond the first besides, in a window
   * @param retryWindowMs length of the window, in milliseconds
   * @param coldRatio part of a cold upstream's stated rate that it may get
   * @param coldSlack requests besides
   * @param maxGrantTtlMs longest hold time of a grant, in milliseconds
   * @param stopMs time from the order to stop to the end, in milliseconds
   */
  public record Bounds(
      double retryRatio,
      double retrySlack,
      long retryWindowMs,
      double coldRatio,
      double coldSlack,
      long maxGrantTtlMs,
      long stopMs) {}

  /** Checks the fields. */
  public EntrySettings {
    Assert.hasLength(node, "node");
    Assert.hasLength(dataCentre, "dataCentre");
    Assert.isTrue(processorShare > 0, "processorShare must be positive");
    Assert.isTrue(linkMbps > 0, "linkMbps must be positive");
    seeds = List.copyOf(seeds);
  }
}
