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

  /** Sets what an upstream must know: its own id and how long it may work. */
  void address(HttpHeaders headers, String upstream, long timeLeftMs);

  /** Returns whether an answer states that the upstream did not run the request. */
  boolean isNotRun(int status, HttpHeaders headers);

  /** Returns whether an answer bears the upstream's seal. */
  boolean isSealed(HttpHeaders headers);

  /** Returns what an answer tells of the upstream's load. */
  Optional<LoadReport> load(HttpHeaders headers);

  /** Returns how long a connection may be idle, in milliseconds, if the answer states it. */
  OptionalLong keepAliveMs(HttpHeaders headers);

  /** Sets the id of the request that an answer of this VM belongs to. */
  void answerTo(HttpHeaders headers, String requestId);

  /** Sets after how long a refused caller should come back, in milliseconds. */
  void comeBackAfter(HttpHeaders headers, long delayMs);
}
