package org.foxtailford.entry.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.foxtailford.core.route.RouteRule;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.settings.EntrySettings.TenantBounds;
import org.foxtailford.net.exchange.ExchangeDialect;

/**
 * Checks the API key of a request against the tenants of the configuration. Confined to the event
 * loop.
 */
public final class CallerAuthentication {

  private final ExchangeDialect dialect;
  private final LongSupplier configurationAgeMs;
  private TenantBounds bounds;

  /**
   * Outcome of the check.
   *
   * @param refusal why the request is refused; empty if it is not
   * @param identity tenant of a request that is not refused
   */
  record Outcome(Optional<KeyRefusal> refusal, CallerIdentity identity) {

    private static final Outcome UNCHECKED =
        new Outcome(Optional.empty(), CallerIdentity.UNCHECKED);

    private static Outcome refused(KeyRefusal refusal) {
      return new Outcome(Optional.of(refusal), new CallerIdentity(true, Optional.empty()));
    }

    private static Outcome accepted(Optional<Tenant> tenant) {
      return new Outcome(Optional.empty(), new CallerIdentity(true, tenant));
    }
  }

  /**
   * Creates the check.
   *
   * @param configurationAgeMs supplies the time since the configuration was known to be the latest
   *     one, in milliseconds; -1 if it never was
   */
  public CallerAuthentication(
      ExchangeDialect dialect, LongSupplier configurationAgeMs, TenantBounds bounds) {
    this.dialect = Assert.notNull(dialect, "dialect");
    this.configurationAgeMs = Assert.notNull(configurationAgeMs, "configurationAgeMs");
    this.bounds = Assert.notNull(bounds, "bounds");
  }

  /** Replaces the bounds after a change of the settings. */
  public void replaceBounds(TenantBounds newBounds) {
    bounds = Assert.notNull(newBounds, "newBounds");
  }

  /** Identifies the tenant of a request or says why the request is refused. */
  Outcome authenticate(HttpHeaders headers, RouteRule route, RoutingConfiguration configuration) {
    if (configuration.tenants().isEmpty()) {
      return Outcome.UNCHECKED;
    }
    if (dialect.isApiKeyMalformed(headers)) {
      return Outcome.refused(KeyRefusal.MALFORMED);
    }
    Optional<String> key = dialect.apiKey(headers);
    Optional<Tenant> tenant = key.flatMap(configuration.tenants().get()::findByKey);
    if (route.isPublic()) {
      return Outcome.accepted(tenant);
    }
    if (isUnconfirmed()) {
      return Outcome.refused(KeyRefusal.UNCONFIRMED);
    }
    if (key.isEmpty()) {
      return Outcome.refused(KeyRefusal.MISSING);
    }
    return tenant.isEmpty() ? Outcome.refused(KeyRefusal.UNKNOWN) : Outcome.accepted(tenant);
  }

  /** Returns whether a key may have been revoked without this VM's knowledge, if that matters. */
  private boolean isUnconfirmed() {
    if (!bounds.failClosed()) {
      return false;
    }
    long ageMs = configurationAgeMs.getAsLong();
    return ageMs < 0 || ageMs > bounds.revokeMs();
  }
}
