package org.foxtailford.testkit.simulation;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.util.Assert;

/** One request on its way through one entry VM. */
final class RoutedCall {

  private final RequestAttributes attributes;
  private final RequestTraits traits;
  private final CompletableFuture<ResultCode> result = new CompletableFuture<>();
  private final Set<String> excluded = new HashSet<>();
  private ResultCode worst = ResultCode.OK;
  private int attempts;
  private int running;
  private long waitUntilMs = Long.MAX_VALUE;

  RoutedCall(RequestAttributes attributes, RequestTraits traits) {
    this.attributes = Assert.notNull(attributes, "attributes");
    this.traits = Assert.notNull(traits, "traits");
  }

  RequestAttributes attributes() {
    return attributes;
  }

  RequestTraits traits() {
    return traits;
  }

  String id() {
    return attributes.requestId().orElseThrow();
  }

  String content() {
    return traits.content();
  }

  boolean idempotent() {
    return traits.idempotent();
  }

  boolean firstSend() {
    return traits.firstSend();
  }

  CompletableFuture<ResultCode> result() {
    return result;
  }

  Set<String> excluded() {
    return excluded;
  }

  int attempts() {
    return attempts;
  }

  void started() {
    attempts++;
    running++;
  }

  /** Notes the end of an attempt; returns whether no other one is running. */
  boolean ended() {
    running--;
    return running == 0;
  }

  /** Waits for a slot until a time, which the first wait sets. */
  boolean mayWait(long nowMs, long limitMs) {
    if (waitUntilMs == Long.MAX_VALUE) {
      waitUntilMs = Math.min(attributes.deadlineMs(), nowMs + limitMs);
    }
    return nowMs < waitUntilMs;
  }

  /** Notes a failure; one after which the request may have run is not hidden by a later one. */
  void failed(ResultCode code) {
    boolean mayHaveRun = worst != ResultCode.OK && worst.effect() != Effect.NOT_RUN;
    if (!mayHaveRun || code.effect() != Effect.NOT_RUN) {
      worst = code;
    }
  }

  /** Ends the request with its last failure, or with a refusal if there was none. */
  void refuse(ResultCode code) {
    result.complete(worst == ResultCode.OK ? code : worst);
  }

  /** Ends the request with a failure. */
  void fail(ResultCode code) {
    failed(code);
    result.complete(worst);
  }
}
