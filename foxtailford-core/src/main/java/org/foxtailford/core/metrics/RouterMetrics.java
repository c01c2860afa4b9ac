package org.foxtailford.core.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.foxtailford.core.admission.AdmissionRefusal;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.retry.RetryVerdict;
import org.foxtailford.core.util.Assert;

/** Records the meters of the request path, ownership and configuration. Thread-safe. */
public final class RouterMetrics {

  private final MeterRegistry registry;

  public RouterMetrics(MeterRegistry registry) {
    this.registry = Assert.notNull(registry, "registry");
  }

  /**
   * Counts an answered or refused request of a known kind and records its duration.
   *
   * @param service name of the service
   * @param kind name of the request kind
   * @param priority priority of the request kind
   * @param code result of the request
   * @param elapsedMs time from receiving the request to its end, in milliseconds
   */
  public void request(String service, String kind, int priority, ResultCode code, long elapsedMs) {
    registry
        .counter(
            "foxtailford.requests",
            "service",
            service,
            "kind",
            kind,
            "worth",
            Integer.toString(priority),
            "code",
            code.name())
        .increment();
    Timer timer = registry.timer("foxtailford.request.duration", "service", service, "kind", kind);
    timer.record(elapsedMs, TimeUnit.MILLISECONDS);
  }

  /** Counts a refused request by its reason. */
  public void refusal(ResultCode reason) {
    registry.counter("foxtailford.refusals", "reason", reason.name()).increment();
  }

  /** Counts a retry by the result of the attempt before it. */
  public void retry(ResultCode reason) {
    registry.counter("foxtailford.retries", "reason", reason.name()).increment();
  }

  /** Counts a failed attempt that was not retried, by its result and the reason. */
  public void retryDenied(ResultCode reason, RetryVerdict verdict) {
    registry
        .counter("foxtailford.retries.denied", "reason", reason.name(), "verdict", verdict.name())
        .increment();
  }

  /** Counts a hedge: a second attempt sent while the first one was still running. */
  public void hedge(String service) {
    registry.counter("foxtailford.hedges", "service", service).increment();
  }

  /** Counts a request that was answered by its hedge. */
  public void hedgeWon(String service) {
    registry.counter("foxtailford.hedges.won", "service", service).increment();
  }

  /** Counts a request that waited for a slot. */
  public void queued(String service) {
    registry.counter("foxtailford.queued", "service", service).increment();
  }

  /** Counts a request refused by an admission limit of this VM. */
  public void limited(AdmissionRefusal reason) {
    registry.counter("foxtailford.limited", "reason", reason.name()).increment();
  }

  /** Counts a chosen upstream to which slow start did not let this VM send. */
  public void coldGateClosed(String service) {
    registry.counter("foxtailford.cold.gate.closed", "service", service).increment();
  }

  /** Counts a request relayed to the entry VM that may send to a cold upstream. */
  public void coldRelay(String service) {
    registry.counter("foxtailford.cold.relays", "service", service).increment();
  }

  /** Counts a request that its caller abandoned. */
  public void abandoned(String service) {
    registry.counter("foxtailford.abandoned", "service", service).increment();
  }

  /** Counts a request relayed to another data centre. */
  public void relay(String dataCentre) {
    registry.counter("foxtailford.relays", "data_centre", dataCentre).increment();
  }

  /** Counts a claim on a request id by its outcome. */
  public void claim(String outcome) {
    registry.counter("foxtailford.claims", "outcome", outcome).increment();
  }

  /**
   * Registers gauges of the state of the request id records.
   *
   * @param rosterVersion returns the version of the roster that this VM knows
   * @param settled returns whether this VM has every record that it might need
   */
  public void records(LongSupplier rosterVersion, BooleanSupplier settled) {
    Gauge.builder("foxtailford.records.roster.version", rosterVersion::getAsLong)
        .register(registry);
    Gauge.builder("foxtailford.records.settled", () -> settled.getAsBoolean() ? 1 : 0)
        .register(registry);
  }

  /** Counts a request suspected or refused as poison, since upstreams failed while running it. */
  public void poison(String verdict) {
    registry.counter("foxtailford.poison.requests", "verdict", verdict).increment();
  }

  /** Counts the loss of an upstream with requests of this VM in flight. */
  public void poisonReport() {
    registry.counter("foxtailford.poison.reports").increment();
  }

  /** Counts a received version of the ownership map. */
  public void ownershipUpdate() {
    registry.counter("foxtailford.ownership.updates").increment();
  }

  /** Counts a pause of this process that the control loop detected. */
  public void pause() {
    registry.counter("foxtailford.pauses").increment();
  }

  /** Counts the start of a term of this VM as leader. */
  public void leadershipGained() {
    registry.counter("foxtailford.leadership.gained").increment();
  }

  /** Counts a configuration version that took effect on this VM. */
  public void configurationAccepted() {
    registry.counter("foxtailford.configuration.accepted").increment();
  }

  /** Counts a read of a configuration version that this build does not support. */
  public void configurationUnreadable() {
    registry.counter("foxtailford.configuration.unreadable").increment();
  }

  /** Counts a failed poll of the platform for the configuration. */
  public void configurationPollFailed() {
    registry.counter("foxtailford.configuration.poll.failures").increment();
  }

  /** Counts a reload of changed certificate files by its outcome. */
  public void certificateReload(String outcome) {
    registry.counter("foxtailford.tls.reloads", "outcome", outcome).increment();
  }

  /** Counts a grant or release that an upstream accepted or refused, by outcome. */
  public void grant(String outcome) {
    registry.counter("foxtailford.ownership.grants", "outcome", outcome).increment();
  }

  /** Counts a slice that moved from one upstream to another. */
  public void sliceMoved(String service) {
    registry.counter("foxtailford.ownership.moves", "service", service).increment();
  }

  /** Counts the split of a slice. */
  public void sliceSplit(String service) {
    registry.counter("foxtailford.ownership.splits", "service", service).increment();
  }

  /** Counts a merge of slices. */
  public void slicesMerged(String service) {
    registry.counter("foxtailford.ownership.merges", "service", service).increment();
  }
}
