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

/** Clients of the platform and of the upstreams' grants, by the settings. Immutable. */
public final class PlatformClients {

  private final HttpClient client;
  private final PlatformSettings platform;
  private final OwnershipSettings ownership;

  /**
   * Creates the clients.
   *
   * @param client carries their requests
   * @param platform address and longest wait for an answer
   * @param ownership times of the lease and of grants
   */
  public PlatformClients(
      HttpClient client, PlatformSettings platform, OwnershipSettings ownership) {
    this.client = Assert.notNull(client, "client");
    this.platform = Assert.notNull(platform, "platform");
    this.ownership = Assert.notNull(ownership, "ownership");
  }

  /** Returns the table service. */
  public TableService table() {
    return new HttpTableService(client, platform.getAddress(), platform.getTimeoutMs());
  }

  /** Returns the table service for the lease, which is of no use after half of its time to live. */
  public TableService leaseTable() {
    int timeoutMs = Math.min(platform.getTimeoutMs(), ownership.getLeaseTtlMs() / 2);
    return new HttpTableService(client, platform.getAddress(), timeoutMs);
  }

  /** Returns the object store. */
  public ObjectStore objects() {
    return new HttpObjectStore(client, platform.getAddress(), platform.getTimeoutMs());
  }

  /** Returns the VM list. */
  public VmListSource vmList() {
    return new HttpVmListSource(client, platform.getAddress(), platform.getTimeoutMs());
  }

  /** Returns the grants; an answer is awaited until the next one is due. */
  public UpstreamGrants grants() {
    return new HttpUpstreamGrants(client, ownership.getRenewIntervalMs());
  }
}
