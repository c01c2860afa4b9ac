package org.foxtailford.net.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.foxtailford.core.upstream.LoadReport;

/** Reads and writes the header fields that callers, entry VMs and upstreams agreed on. */
public interface ExchangeDialect {

  /** Returns the id of a caller's request, or the id that an upstream's answer repeats. */
  Optional<String> requestId(HttpHeaders headers);

  /** Returns how long the caller waits, in milliseconds; empty if missing or unreadable. */
  OptionalLong timeLeftMs(HttpHeaders headers);

  /** Returns the key of a request, between 0 and the highest key. */
  OptionalInt key(HttpHeaders headers);

  /** Sets the id of the target upstream and the time left for the request, in milliseconds. */
  void setTarget(HttpHeaders headers, String upstream, long timeLeftMs);

  /** Returns whether an answer states that the upstream did not run the request. */
  boolean isNotRun(int status, HttpHeaders headers);

  /** Returns whether an answer carries the upstream's response signature. */
  boolean hasResponseSignature(HttpHeaders headers);

  /** Returns what an answer tells of the upstream's load. */
  Optional<LoadReport> load(HttpHeaders headers);

  /** Returns how long a connection may be idle, in milliseconds, if the answer states it. */
  OptionalLong keepAliveMs(HttpHeaders headers);

  /** Sets the id of the request that an answer of this VM belongs to. */
  void setRequestId(HttpHeaders headers, String requestId);

  /** Sets the time after which a rejected caller may retry, in milliseconds. */
  void setRetryAfter(HttpHeaders headers, long delayMs);
}
