package org.foxtailford.testkit.experiment;

import java.util.Optional;
import org.foxtailford.core.result.ResultCode;

/**
 * What became of one request of an experiment.
 *
 * @param service service that it named
 * @param key key that it named, if the service has keys
 * @param sentMs time when it was due, in milliseconds since the load began
 * @param latencyMicros time from when it was due until its answer, in microseconds
 * @param code number of its result code
 * @param upstream upstream that answered; empty if none did
 */
public record RequestOutcome(
    String service,
    Optional<String> key,
    long sentMs,
    long latencyMicros,
    int code,
    String upstream) {

  private static final long MICROS_PER_MS = 1000;

  /** Tells whether the caller received an upstream's whole answer. */
  public boolean isAnswered() {
    return code == ResultCode.OK.number();
  }

  /** Returns the time of the answer, in milliseconds since the load began. */
  public long endedMs() {
    return sentMs + latencyMicros / MICROS_PER_MS;
  }
}
