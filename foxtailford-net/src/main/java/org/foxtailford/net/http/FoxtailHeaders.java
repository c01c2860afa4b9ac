package org.foxtailford.net.http;

import io.netty.util.AsciiString;
import java.util.List;
import java.util.stream.Stream;

/** Header fields of the interfaces to callers, upstreams and relays. */
public final class FoxtailHeaders {

  /** Key of a keyed request. */
  public static final String KEY = "Foxtail-Key";

  /** Request id, chosen by the caller; the same on each retry. */
  public static final String REQUEST_ID = "Foxtail-Request-Id";

  /** Set to {@code true} if the caller has never sent this request id before. */
  public static final String FIRST_SEND = "Foxtail-First-Send";

  /** Set to {@code true} if the answer was stored for an earlier send of the request. */
  public static final String REPLAYED = "Foxtail-Replayed";

  /** Remaining time for the answer, in milliseconds. */
  public static final String TIMEOUT_MS = "Foxtail-Timeout-Ms";

  /** Result code of an answer, as a number. */
  public static final String CODE = "Foxtail-Code";

  /** Whether the request was run: {@code ran}, {@code not-run} or {@code unknown}. */
  public static final String EFFECT = "Foxtail-Effect";

  /** Name of the upstream that answered. */
  public static final String UPSTREAM = "Foxtail-Upstream";

  /** Fence of the owner's slice, in the form EPOCH.SEQUENCE. */
  public static final String FENCE = "Foxtail-Fence";

  /** Hash of the key, as 16 hexadecimal digits. */
  public static final String KEY_HASH = "Foxtail-Key-Hash";

  /** Number of an attempt; the upstream echoes it in its answer. */
  public static final String ATTEMPT = "Foxtail-Attempt";

  /** Reason why an upstream did not run a request; see {@link UpstreamRefusal}. */
  public static final String REFUSED = "Foxtail-Refused";

  /** Time after which a refused request may be retried, in milliseconds. */
  public static final String RETRY_AFTER_MS = "Foxtail-Retry-After-Ms";

  /** Boot id of the upstream process, in each of its answers; unsigned decimal, never 0. */
  public static final String BOOT_ID = "Foxtail-Boot-Id";

  /** Fields that decide what becomes of a request; an answer has one value of each. */
  static final List<AsciiString> SINGLE_IN_ANSWERS =
      Stream.of(CODE, EFFECT, ATTEMPT, REFUSED, RETRY_AFTER_MS, BOOT_ID)
          .map(AsciiString::cached)
          .toList();

  private FoxtailHeaders() {}
}
