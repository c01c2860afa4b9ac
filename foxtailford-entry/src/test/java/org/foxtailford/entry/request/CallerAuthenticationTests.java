package org.foxtailford.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.route.RequestKind;
import org.foxtailford.core.route.RouteRule;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.route.WeightedService;
import org.foxtailford.core.tenant.ApiKeys;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.core.tenant.TenantDirectory;
import org.foxtailford.core.tenant.TenantKeys;
import org.foxtailford.entry.log.KeptLog;
import org.foxtailford.entry.settings.EntrySettings.TenantBounds;
import org.foxtailford.platform.HeaderDialect;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that are served without a valid key, or refused with one. */
public class CallerAuthenticationTests {

  private static final TenantBounds OPEN = TenantBounds.DEFAULT;
  private static final TenantBounds CLOSED = new TenantBounds(true, 2000, 5000, 0.1, 20);
  private static final Tenant ACME = new Tenant("acme", OptionalInt.of(0), 10, 5);
  private static final RoutingConfiguration WITH_TENANTS =
      configuration(
          Optional.of(new TenantDirectory(List.of(new TenantKeys(ACME, List.of("k1", "clé"))))));

  private long ageMs;

  private static RoutingConfiguration configuration(Optional<TenantDirectory> tenants) {
    return new RoutingConfiguration(1, List.of(), List.of(), CallerLimits.DEFAULT, tenants);
  }

  private static RouteRule route(boolean isPublic) {
    return new RouteRule(
        "r",
        "h",
        "/",
        RequestKind.IDEMPOTENT,
        1000,
        500,
        1,
        2,
        List.of(new WeightedService("s", 1)),
        isPublic);
  }

  private static HttpHeaders headers(String... keys) {
    return DefaultHttpHeadersFactory.headersFactory()
        .withValidation(false) // a decoder need not validate either
        .newHeaders()
        .add("Key", List.of(keys));
  }

  private CallerAuthentication.Outcome check(
      TenantBounds bounds, boolean isPublic, String... keys) {
    return new CallerAuthentication(new HeaderDialect(), () -> ageMs, bounds)
        .authenticate(headers(keys), route(isPublic), WITH_TENANTS);
  }

  @DataProvider
  public static Object[][] refusals() {
    return new Object[][] {
      {KeyRefusal.MISSING, new String[] {}},
      {KeyRefusal.MISSING, new String[] {""}},
      {KeyRefusal.UNKNOWN, new String[] {"k2"}},
      {KeyRefusal.UNKNOWN, new String[] {"k1,k1"}},
      {KeyRefusal.UNKNOWN, new String[] {"K1"}},
      {KeyRefusal.UNKNOWN, new String[] {"x".repeat(65536)}},
      {KeyRefusal.MALFORMED, new String[] {"k1", "k1"}},
      {KeyRefusal.MALFORMED, new String[] {"", ""}},
      {KeyRefusal.MALFORMED, new String[] {"k\t1"}},
      {KeyRefusal.MALFORMED, new String[] {"k1\u0001"}},
      {KeyRefusal.MALFORMED, new String[] {"\u007f"}}
    };
  }

  @Test(dataProvider = "refusals")
  public void requestWithoutOneKnownKeyIsRefused(KeyRefusal refusal, String[] keys) {
    assertThat(check(OPEN, false, keys).refusal()).contains(refusal);
  }

  @Test(dataProvider = "refusals")
  public void publicRouteRefusesOnlyMalformedKeys(KeyRefusal refusal, String[] keys) {
    CallerAuthentication.Outcome outcome = check(OPEN, true, keys);
    assertThat(outcome.refusal().isPresent()).isEqualTo(refusal == KeyRefusal.MALFORMED);
    assertThat(outcome.identity()).isEqualTo(new CallerIdentity(true, Optional.empty()));
  }

  @Test
  public void knownKeyIdentifiesItsTenantOnEachRoute() {
    assertThat(check(OPEN, false, "k1").identity().tenant()).contains(ACME);
    assertThat(check(OPEN, true, "k1").identity().tenant()).contains(ACME);
    String received =
        new String("clé".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    assertThat(check(OPEN, false, received).identity().tenant()).contains(ACME);
  }

  @Test
  public void nothingIsCheckedWithoutTenants() {
    CallerAuthentication.Outcome outcome =
        new CallerAuthentication(new HeaderDialect(), () -> -1, CLOSED)
            .authenticate(headers("a", "b"), route(false), configuration(Optional.empty()));
    assertThat(outcome.refusal()).isEmpty();
    assertThat(outcome.identity().checked()).isFalse();
  }

  @Test
  public void keysAreRefusedWhileTheyMayHaveBeenRevokedIfTheSettingsSaySo() {
    ageMs = 2000;
    assertThat(check(CLOSED, false, "k1").refusal()).isEmpty();
    for (long staleMs : new long[] {2001, -1}) {
      ageMs = staleMs;
      assertThat(check(CLOSED, false, "k1").refusal()).contains(KeyRefusal.UNCONFIRMED);
      assertThat(check(CLOSED, false).refusal()).contains(KeyRefusal.UNCONFIRMED);
      assertThat(check(CLOSED, true).refusal()).isEmpty();
      assertThat(check(OPEN, false, "k1").refusal()).isEmpty();
    }
  }

  @Test
  public void manyRefusalsMakeOneLineASecondWithoutTheKey() {
    long[] nowMs = {5000};
    KeyRefusalLog log = new KeyRefusalLog(new HeaderDialect(), () -> nowMs[0]);
    takeLines();
    for (int i = 0; i < 10_000; i++) {
      log.record(KeyRefusal.UNKNOWN, headers("secret-" + i), "r", 1, 0);
    }
    nowMs[0] += 1000;
    log.record(KeyRefusal.UNKNOWN, headers("secret-0"), "r", 1, 0);
    List<String> lines = takeLines();
    assertThat(lines).hasSize(2).noneMatch(line -> line.contains("secret"));
    assertThat(lines.get(0)).contains(ApiKeys.digest("secret-0")).contains("\"count\":1");
    assertThat(lines.get(1)).contains("\"count\":10000");
  }

  private static List<String> takeLines() {
    return KeptLog.take().stream()
        .filter(line -> line.contains("requests refused for their API key"))
        .toList();
  }
}
