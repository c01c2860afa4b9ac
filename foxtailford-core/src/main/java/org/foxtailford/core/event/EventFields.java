package org.foxtailford.core.event;

import com.google.common.flogger.MetadataKey;

/** Fields of structured log lines; docs/LOGS.md says what they hold. */
public final class EventFields {

  /** Id of the caller's request. */
  public static final MetadataKey<String> REQUEST = text("request");

  /** Name of the route. */
  public static final MetadataKey<String> ROUTE = text("route");

  /** Name of the service. */
  public static final MetadataKey<String> SERVICE = text("service");

  /** Id of the upstream. */
  public static final MetadataKey<String> UPSTREAM = text("upstream");

  /** Data centre. */
  public static final MetadataKey<String> DATA_CENTRE = text("dataCentre");

  /** Name of an entry VM. */
  public static final MetadataKey<String> NODE = text("node");

  /** Why it was decided so. */
  public static final MetadataKey<String> REASON = text("reason");

  /** Table of the store. */
  public static final MetadataKey<String> TABLE = text("table");

  /** Keys from first to last. */
  public static final MetadataKey<String> KEYS = text("keys");

  /** Key of a request. */
  public static final MetadataKey<Long> KEY = number("key");

  /** Status of an HTTP answer. */
  public static final MetadataKey<Long> STATUS = number("status");

  /** Version of what was decided on. */
  public static final MetadataKey<Long> VERSION = number("version");

  /** Age of what was decided on, in milliseconds. */
  public static final MetadataKey<Long> AGE_MS = number("ageMs");

  /** Time that something took or takes, in milliseconds. */
  public static final MetadataKey<Long> TOOK_MS = number("tookMs");

  /** Time that is left, in milliseconds. */
  public static final MetadataKey<Long> LEFT_MS = number("leftMs");

  /** Time after which to come back, in milliseconds. */
  public static final MetadataKey<Long> RETRY_AFTER_MS = number("retryAfterMs");

  /** Number of upstreams that the request was sent to. */
  public static final MetadataKey<Long> ATTEMPTS = number("attempts");

  /** Number of things, as the event says. */
  public static final MetadataKey<Long> COUNT = number("count");

  /** Generation number of an ownership, or term of a leader. */
  public static final MetadataKey<Long> FENCE = number("fence");

  private EventFields() {}

  private static MetadataKey<String> text(String name) {
    return MetadataKey.single(name, String.class);
  }

  private static MetadataKey<Long> number(String name) {
    return MetadataKey.single(name, Long.class);
  }
}
