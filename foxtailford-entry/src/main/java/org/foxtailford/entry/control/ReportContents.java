package org.foxtailford.entry.control;

import org.foxtailford.core.util.Assert;

/**
 * Contents of reports and replies that have a component of their own.
 *
 * @param losses losses of upstreams
 * @param shares shares of tenants' quotas
 */
public record ReportContents(LossExchange losses, ShareReports shares) {

  /** Checks the fields. */
  public ReportContents {
    Assert.notNull(losses, "losses");
    Assert.notNull(shares, "shares");
  }
}
