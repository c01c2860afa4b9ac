package org.foxtailford.core.event;

import com.google.common.flogger.MetadataKey;

/** Fields of structured log events; docs/LOGS.md describes their values. */
public final class EventFields {

  /** Id of the caller's request. */
  public static final MetadataKey<String> REQUEST = stringField("request");

  /** Hash of a request's content, in hexadecimal; equal on all VMs and for each retry. */
  public static final MetadataKey<String> FINGERPRINT = stringField("fingerprint");

  /** Name of the route that matches a request. */
  public static final MetadataKey<String> ROUTE = stringField("route");

  /** Name of the tenant that sent a request. */
  public static final MetadataKey<String> TENANT = stringField("tenant");

  /** Digest of an API key. */
  public static final MetadataKey<String> API_KEY_DIGEST = stringField("apiKeyDigest");

  /** Name of the service. */
  public static final MetadataKey<String> SERVICE = stringField("service");

  /** Id of the upstream. */
  public static final MetadataKey<String> UPSTREAM = stringField("upstream");

  /** Name of a data centre. */
  public static final MetadataKey<String> DATA_CENTRE = stringField("dataCentre");

  /** Name of an entry VM. */
  public static final MetadataKey<String> NODE = stringField("node");

  /** Reason for the decision or failure that the event reports. */
  public static final MetadataKey<String> REASON = stringField("reason");

  /** Name of a table of the store. */
  public static final MetadataKey<String> TABLE = stringField("table");

  /** Range of keys, as its first and last key with a hyphen between them. */
  public static final MetadataKey<String> KEYS = stringField("keys");

  /** Key of a request. */
  public static final MetadataKey<Long> KEY = longField("key");

  /** Status code of an HTTP answer. */
  public static final MetadataKey<Long> STATUS = longField("status");

  /** Version of the row or configuration that the event refers to. */
  public static final MetadataKey<Long> VERSION = longField("version");

  /** Era of the store: number of times that it was restored from an older copy. */
  public static final MetadataKey<Long> ERA = longField("era");

  /** Age of the data or confirmation that a decision is based on, in milliseconds. */
  public static final MetadataKey<Long> AGE_MS = longField("ageMs");

  /** Duration of the operation that the event reports, in milliseconds. */
  public static final MetadataKey<Long> TOOK_MS = longField("tookMs");

  /** Time since a request was last sent, in milliseconds. */
  public static final MetadataKey<Long> SINCE_SEND_MS = longField("sinceSendMs");

  /** Time remaining until a deadline or expiry, in milliseconds. */
  public static final MetadataKey<Long> LEFT_MS = longField("leftMs");

  /** Time after which the caller may retry, in milliseconds. */
  public static final MetadataKey<Long> RETRY_AFTER_MS = longField("retryAfterMs");

  /** Number of times that the request was sent to an upstream. */
  public static final MetadataKey<Long> ATTEMPTS = longField("attempts");

  /** Quota of a tenant: requests a second, and burst. */
  public static final MetadataKey<String> QUOTA = stringField("quota");

  /** Share of a tenant's quota that this VM holds, in parts per million. */
  public static final MetadataKey<Long> SHARE_PPM = longField("sharePpm");

  /** Number of items; the text of the event says which. */
  public static final MetadataKey<Long> COUNT = longField("count");

  /** Bytes of a request's body that were received, by this VM. */
  public static final MetadataKey<Long> RECEIVED_BYTES = longField("receivedBytes");

  /** Length of a request's body as announced to the target; -1 if it is sent in chunks. */
  public static final MetadataKey<Long> ANNOUNCED_BYTES = longField("announcedBytes");

  /** Bytes of a request's body that were passed to the connection to the target. */
  public static final MetadataKey<Long> SENT_BYTES = longField("sentBytes");

  /** Fence of an ownership, or term of a leader. */
  public static final MetadataKey<Long> FENCE = longField("fence");

  /** Term of the leader before. */
  public static final MetadataKey<Long> PREVIOUS_FENCE = longField("previousFence");

  private EventFields() {}

  private static MetadataKey<String> stringField(String name) {
    return MetadataKey.single(name, String.class);
  }

  private static MetadataKey<Long> longField(String name) {
    return MetadataKey.single(name, Long.class);
  }
}
