package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.EnumMap;
import java.util.Map;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.tenant.ApiKeys;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.exchange.ExchangeDialect;

/**
 * Logs requests that are refused for their API key, at most one line a second for each reason: who
 * tries keys must not fill the log. Confined to the event loop.
 */
final class KeyRefusalLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long INTERVAL_MS = 1000;

  private final ExchangeDialect dialect;
  private final MillisClock clock;
  private final Map<KeyRefusal, Long> lastLoggedMs = new EnumMap<>(KeyRefusal.class);
  private final Map<KeyRefusal, Long> refusedSince = new EnumMap<>(KeyRefusal.class);

  KeyRefusalLog(ExchangeDialect dialect, MillisClock clock) {
    this.dialect = Assert.notNull(dialect, "dialect");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Counts a refused request, and logs it unless another one was logged within a second. */
  void record(
      KeyRefusal refusal,
      HttpHeaders headers,
      String route,
      long version,
      long configurationAgeMs) {
    long count = refusedSince.merge(refusal, 1L, Long::sum);
    long nowMs = clock.nowMs();
    Long lastMs = lastLoggedMs.get(refusal);
    if (lastMs != null && nowMs - lastMs < INTERVAL_MS) {
      return;
    }
    lastLoggedMs.put(refusal, nowMs);
    refusedSince.remove(refusal);
    logger
        .atInfo()
        .with(EventFields.REQUEST, dialect.requestId(headers).orElse(""))
        .with(EventFields.ROUTE, route)
        .with(EventFields.STATUS, (long) refusal.status())
        .with(EventFields.REASON, refusal.reason())
        .with(EventFields.API_KEY_DIGEST, dialect.apiKey(headers).map(ApiKeys::digest).orElse(""))
        .with(EventFields.VERSION, version)
        .with(EventFields.AGE_MS, configurationAgeMs)
        .with(EventFields.COUNT, count)
        .log("requests refused for their API key");
  }
}
