package org.foxtailford.net.http;

/** Header fields of the callers', the upstreams' and the relays' interface. */
public final class FoxtailHeaders {

  /** Key of a keyed request. */
  public static final String KEY = "Foxtail-Key";

  /** Id of a request, chosen by its caller; the same on each resend. */
  public static final String REQUEST_ID = "Foxtail-Request-Id";

  /** Present with value {@code true} if its caller never sent the request id before. */
  public static final String FIRST_SEND = "Foxtail-First-Send";

  /** Present with value {@code true} if an answer was kept from an earlier send. */
  public static final String REPLAYED = "Foxtail-Replayed";

  /** Time left for the answer, in milliseconds. */
  public static final String TIMEOUT_MS = "Foxtail-Timeout-Ms";

  /** Result code of an answer, as a number. */
  public static final String CODE = "Foxtail-Code";

  /** What an answer says about the work: {@code ran}, {@code not-run} or {@code unknown}. */
  public static final String EFFECT = "Foxtail-Effect";

  /** Upstream that answered. */
  public static final String UPSTREAM = "Foxtail-Upstream";

  /** Fence of the owner's slice, as EPOCH.SEQUENCE. */
  public static final String FENCE = "Foxtail-Fence";

  /** Hash of the key, as 16 hexadecimal digits. */
  public static final String KEY_HASH = "Foxtail-Key-Hash";

  /** Number of one attempt; the upstream repeats it in its answer. */
  public static final String ATTEMPT = "Foxtail-Attempt";

  /** Reason for which an upstream did not run a request. */
  public static final String REFUSED = "Foxtail-Refused";

  /** Time after which a refused request may be sent again, in milliseconds. */
  public static final String RETRY_AFTER_MS = "Foxtail-Retry-After-Ms";

  /** Number of an upstream's present start, in each of its answers; unsigned decimal, not 0. */
  public static final String BOOT_ID = "Foxtail-Boot-Id";

  private FoxtailHeaders() {}
}
