package org.foxtailford.entry.request;

import java.util.Optional;
import org.foxtailford.core.tenant.Tenant;

/**
 * The tenant on whose behalf a request was sent.
 *
 * @param checked whether the configuration has tenants; otherwise the header fields of the API key
 *     and of the tenant are ordinary ones
 * @param tenant tenant of the request's API key; empty without a known key
 */
record CallerIdentity(boolean checked, Optional<Tenant> tenant) {

  /** Identity of each request while the configuration has no tenants. */
  static final CallerIdentity UNCHECKED = new CallerIdentity(false, Optional.empty());
}
