package org.foxtailford.daemon.control;

import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.platform.ObjectStore;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.VmListSource;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.platform.HttpObjectStore;
import org.foxtailford.platform.HttpTableService;
import org.foxtailford.platform.HttpUpstreamGrants;
import org.foxtailford.platform.HttpVmListSource;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.schema.PlatformSettings;

/** Creates clients of the platform and of the upstreams' grants from the settings. Immutable. */
public final class PlatformClients {

  private final HttpClient client;
  private final PlatformSettings platform;
  private final OwnershipSettings ownership;

  /**
   * Creates a factory.
   *
   * @param client HTTP client shared by all created clients
   * @param platform address and request timeout of the platform
   * @param ownership lease TTL and renewal interval
   */
  public PlatformClients(
      HttpClient client, PlatformSettings platform, OwnershipSettings ownership) {
    this.client = Assert.notNull(client, "client");
    this.platform = Assert.notNull(platform, "platform");
    this.ownership = Assert.notNull(ownership, "ownership");
  }

  /** Returns a client of the table service. */
  public TableService table() {
    return new HttpTableService(client, platform.getAddress(), platform.getTimeoutMs());
  }

  /**
   * Returns a client of the table service for the lease. Its timeout is at most half of the lease
   * TTL, since a later answer is of no use.
   */
  public TableService leaseTable() {
    int timeoutMs = Math.min(platform.getTimeoutMs(), ownership.getLeaseTtlMs() / 2);
    return new HttpTableService(client, platform.getAddress(), timeoutMs);
  }

  /** Returns a client of the object store. */
  public ObjectStore objects() {
    return new HttpObjectStore(client, platform.getAddress(), platform.getTimeoutMs());
  }

  /** Returns a client of the VM list. */
  public VmListSource vmList() {
    return new HttpVmListSource(client, platform.getAddress(), platform.getTimeoutMs());
  }

  /** Returns a client of grants. A request times out when the next renewal is due. */
  public UpstreamGrants grants() {
    return new HttpUpstreamGrants(client, ownership.getRenewIntervalMs());
  }
}
