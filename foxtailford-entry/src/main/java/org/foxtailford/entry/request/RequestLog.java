package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.UpstreamFailure;

/** Logs how requests end. Confined to the event loop. */
final class RequestLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final MillisClock clock;

  RequestLog(MillisClock clock) {
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Logs that an upstream's whole answer was passed on. */
  void answered(RequestCall call, Attempt attempt, int status) {
    attempt
        .describeTransfer(describe(logger.atInfo(), call))
        .with(EventFields.ROUTE, call.route().name())
        .with(EventFields.UPSTREAM, attempt.target())
        .with(EventFields.STATUS, (long) status)
        .log("request answered");
  }

  /** Logs that a request which has not run is refused. */
  void refused(RequestCall call, String reason, long retryAfterMs) {
    describe(logger.atInfo(), call)
        .with(EventFields.ROUTE, call.route().name())
        .with(EventFields.REASON, reason)
        .with(EventFields.RETRY_AFTER_MS, retryAfterMs)
        .with(EventFields.LEFT_MS, call.terms().deadlineMs() - clock.nowMs())
        .log("request refused");
  }

  /** Logs that a request which may have run has failed. */
  void failed(RequestCall call, String reason, int status) {
    describe(logger.atWarning(), call)
        .with(EventFields.ROUTE, call.route().name())
        .with(EventFields.STATUS, (long) status)
        .with(EventFields.REASON, reason)
        .log("request failed");
  }

  /** Logs that an upstream's answer was cut off after its beginning. */
  void aborted(RequestCall call, String target, String reason) {
    logger
        .atWarning()
        .with(EventFields.REQUEST, call.requestId())
        .with(EventFields.UPSTREAM, target)
        .with(EventFields.REASON, reason)
        .log("answer aborted");
  }

  /** Logs that this VM cuts off an answer that goes on after the caller's deadline. */
  void overdue(RequestCall call) {
    logger
        .atWarning()
        .with(EventFields.REQUEST, call.requestId())
        .with(EventFields.REASON, "answer overdue")
        .log("answer aborted");
  }

  /** Logs that a request was not sent, as its caller had left or its time was up by then. */
  void withheld(RequestCall call, String target, UpstreamFailure reason) {
    describe(logger.atInfo(), call)
        .with(EventFields.UPSTREAM, target)
        .with(EventFields.REASON, reason.name())
        .with(EventFields.LEFT_MS, call.terms().deadlineMs() - clock.nowMs())
        .log("request withheld");
  }

  /**
   * Logs that the caller closed its connection before the answer.
   *
   * @param leftToRun number of attempts that go on, since they must not be ended
   */
  void callerGone(RequestCall call, int leftToRun) {
    describe(logger.atInfo(), call)
        .with(EventFields.COUNT, (long) leftToRun)
        .with(EventFields.SINCE_SEND_MS, call.history().sinceSendMs(clock.nowMs()))
        .log("caller gone");
  }

  private FluentLogger.Api describe(FluentLogger.Api line, RequestCall call) {
    FluentLogger.Api described =
        line.with(EventFields.REQUEST, call.requestId())
            .with(EventFields.SERVICE, call.service().name())
            .with(EventFields.VERSION, call.configurationVersion())
            .with(EventFields.AGE_MS, call.configurationAgeMs())
            .with(EventFields.ATTEMPTS, (long) call.history().sends())
            .with(EventFields.TOOK_MS, clock.nowMs() - call.terms().arrivedMs());
    if (call.exchange().bodyBytes() > 0) {
      described = described.with(EventFields.RECEIVED_BYTES, call.exchange().receivedBytes());
    }
    return call.tenant().isPresent()
        ? described.with(EventFields.TENANT, call.tenant().get().name())
        : described;
  }
}
