package org.foxtailford.net.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.foxtailford.core.upstream.LoadReport;

/** Reads and writes the header fields of the protocol between callers, entry VMs and upstreams. */
public interface ExchangeDialect {

  /** Returns the request id of a caller's request or of an upstream's answer. */
  Optional<String> requestId(HttpHeaders headers);

  /** Returns the caller's remaining time, in milliseconds; empty if missing or malformed. */
  OptionalLong timeLeftMs(HttpHeaders headers);

  /** Returns the key of a request, from 0 to the highest key; empty if missing or malformed. */
  OptionalInt key(HttpHeaders headers);

  /** Sets the id of the target upstream and the time left for the request, in milliseconds. */
  void setTarget(HttpHeaders headers, String upstream, long timeLeftMs);

  /** Sets the time left for a request that goes to no particular upstream, in milliseconds. */
  void setTimeLeft(HttpHeaders headers, long timeLeftMs);

  /** Returns the names of the fields of which an answer may have one value only. */
  List<AsciiString> singleAnswerFields();

  /** Returns whether an answer states that the upstream did not run the request. */
  boolean isNotRun(int status, HttpHeaders headers);

  /** Returns whether an answer has the upstream's response signature. */
  boolean hasResponseSignature(HttpHeaders headers);

  /** Returns the upstream's load as reported in an answer; empty if there is no valid report. */
  Optional<LoadReport> load(HttpHeaders headers);

  /** Returns the keep-alive time of the connection, in milliseconds; empty if not stated. */
  OptionalLong keepAliveMs(HttpHeaders headers);

  /** Returns whether an answer states that the upstream is leaving. */
  boolean isLeaving(HttpHeaders headers);

  /** Returns whether an upstream that is unavailable asks for a pause. */
  boolean asksForPause(int status, HttpHeaders headers);

  /**
   * Returns the time for which an upstream that asks for a pause wants nothing more, in
   * milliseconds; empty if missing or malformed.
   */
  OptionalLong retryAfterMs(HttpHeaders headers);

  /** Returns whether an answer names a limit for the requests to its upstream. */
  boolean namesLimit(HttpHeaders headers);

  /**
   * Returns the requests per second that an upstream takes from all VMs together; empty if missing
   * or malformed.
   */
  OptionalDouble limitPerSecond(HttpHeaders headers);

  /** Sets the request id on an answer of this VM. */
  void setRequestId(HttpHeaders headers, String requestId);

  /** Sets the time after which a rejected caller should retry, in milliseconds. */
  void setRetryAfter(HttpHeaders headers, long delayMs);

  /**
   * Returns whether the API key of a request can't be read unambiguously: there are several, or it
   * has control characters.
   */
  boolean isApiKeyMalformed(HttpHeaders headers);

  /** Returns the API key of a request; empty if there is none. */
  Optional<String> apiKey(HttpHeaders headers);

  /** Removes the API key of a request, which no upstream may see. */
  void removeApiKey(HttpHeaders headers);

  /** Replaces the tenant that a request names; an empty value removes it. */
  void setTenant(HttpHeaders headers, Optional<String> tenant);
}
