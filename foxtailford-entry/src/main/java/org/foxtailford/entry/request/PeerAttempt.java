package org.foxtailford.entry.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.foxtailford.net.proxy.UpstreamFailure;

/**
 * An attempt to have a request served by another entry VM, which passes it on to upstreams but to
 * no further entry VM. Confined to the event loop.
 */
final class PeerAttempt extends Attempt {

  /** Time for which a peer that refused a request is avoided, in milliseconds. */
  private static final long REFUSAL_PAUSE_MS = 100;

  /** Time for which a peer that can't be reached is avoided, in milliseconds. */
  private static final long FAILURE_PAUSE_MS = 1000;

  private final PeerHandle peer;
  private final String subject;
  private boolean started;
  private boolean ended;
  private boolean answered;
  private boolean served;
  private boolean reserved;
  private boolean refusedAsCutOff;
  private boolean unreached;
  private boolean withheld;
  private int allowance;

  /**
   * Creates an attempt that is not started.
   *
   * @param subject what its outcome tells about, see {@link
   *     org.foxtailford.core.upstream.UpstreamReach}
   */
  PeerAttempt(RequestCall call, PeerHandle peer, String subject, RequestScheduler scheduler) {
    super(call, scheduler, peer.pool());
    this.peer = peer;
    this.subject = subject;
  }

  String subject() {
    return subject;
  }

  /** Returns whether the peer was sent the request and owes the head of its answer. */
  boolean isAwaited() {
    return !ended && !answered && isSent();
  }

  /** Returns since when the peer has answered nothing, in milliseconds. */
  long silentSinceMs() {
    return Math.max(sentMs(), peer.fitness().lastAnswerMs());
  }

  /** Prefers other peers for a while. */
  void recordSilence() {
    peer.fitness().avoidUntil(scheduler().nowMs() + FAILURE_PAUSE_MS);
  }

  @Override
  String target() {
    return peer.peer().node();
  }

  /** Keeps the API key, which the peer checks again, but not a tenant that the caller named. */
  @Override
  void address(HttpHeaders headers, long leftMs) {
    if (call().hasTenants()) {
      scheduler().dialect().setTenant(headers, Optional.empty());
    }
    scheduler().dialect().setTimeLeft(headers, leftMs);
    RelayHeaders.setVersion(headers, call().configurationVersion());
    int left = call().route().maxAttempts() - call().history().deliveries();
    reserved = call().route().kind().isIdempotent() && left > 1; // in case the peer is lost
    allowance = Math.max(0, reserved ? left - 1 : left);
    RelayHeaders.setAttempts(headers, call().route().maxAttempts() - allowance);
  }

  @Override
  void onStart() {
    started = true;
    peer.fitness().recordStart();
    call().history().recordDeliveries(allowance); // the peer may use all that it is allowed
  }

  /** Does nothing: what the peer may use was counted at the start. */
  @Override
  void onDelivered() {}

  @Override
  void onBodyPart(int bytes) {}

  @Override
  boolean isNotRun(HttpResponse answer, RelayHeaders.AnswerMarks marks) {
    return marks.notRun();
  }

  @Override
  void onAnswerHead(HttpResponse answer, RelayHeaders.AnswerMarks marks) {
    answered = true;
    refusedAsCutOff = isRefused() && marks.cutOff();
    unreached = isRefused() && marks.unreached();
    long nowMs = scheduler().nowMs();
    peer.fitness().recordAnswer(nowMs);
    if (refusedAsCutOff) {
      peer.fitness().recordCutOff(nowMs);
    }
    marks.version().ifPresent(scheduler()::recordConfigurationHeardOf);
  }

  /**
   * Returns whether an answer may be passed on: the peer has tried what the route allows, or the
   * answer is not a failure after which the attempt that the peer did not get would be made.
   */
  @Override
  boolean isFinal(HttpResponse answer) {
    int status = answer.status().code();
    boolean retryable =
        reserved
            && status / 100 == SERVER_ERROR_CLASS
            && status != RequestCall.GATEWAY_TIMEOUT
            && call().canRetry()
            && !(isSigned(answer) && call().service().keyed());
    return !retryable && (status / 100 != SUCCESS_CLASS || isSigned(answer));
  }

  @Override
  void onComplete(HttpResponse answer, long tookMs, boolean measuresWork) {
    served = isSigned(answer);
    if (served) {
      peer.fitness().recordServed(sentMs());
    }
  }

  @Override
  void onUnusable(HttpResponse answer) {
    peer.fitness().avoidUntil(scheduler().nowMs() + REFUSAL_PAUSE_MS);
    if (isRefused()) {
      call().history().recordDeliveries(-allowance);
    }
    if (!unreached) {
      call().history().recordReached();
    }
    if (refusedAsCutOff) {
      call().history().recordCutOffPeer();
    }
  }

  @Override
  void onWithheld() {
    withheld = true;
    call().history().recordDeliveries(-allowance);
  }

  @Override
  void onConnectionFailure(UpstreamFailure failure, long tookMs) {
    if (failure != UpstreamFailure.BODY_INCOMPLETE) {
      peer.fitness().avoidUntil(scheduler().nowMs() + FAILURE_PAUSE_MS);
    }
    if (failure.isNotRun()) {
      call().history().recordDeliveries(-allowance);
    }
  }

  @Override
  void onLost(Runnable judged) {
    judged.run();
  }

  @Override
  void onOverdue() {}

  @Override
  void onClosed() {
    ended = true;
    if (started) {
      peer.fitness().recordEnd();
    }
    if (refusedAsCutOff || withheld) {
      scheduler().partialReach().recordRelayWithoutOutcome(subject);
    } else {
      scheduler().partialReach().recordRelayEnd(subject, served);
    }
  }
}
