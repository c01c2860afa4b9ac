package org.foxtailford.benchmarks.requests;

/**
 * What a run measured.
 *
 * @param offered requests of callers
 * @param served requests that an upstream answered
 * @param refused requests that were refused
 * @param received attempts that reached an upstream, refused ones included
 * @param started attempts that an upstream started
 * @param finished attempts that an upstream ran to their end
 * @param capacity requests that all upstreams together can run in the time
 * @param p50Micros median latency of served requests, in microseconds
 * @param p99Micros 99th percentile of it, in microseconds
 */
record RunResult(
    long offered,
    long served,
    long refused,
    long received,
    long started,
    long finished,
    double capacity,
    long p50Micros,
    long p99Micros) {

  /** Returns the attempts started for each served request, less one. */
  double extraStarted() {
    return (double) started / served - 1;
  }

  /** Returns the attempts that reached an upstream for each offered request, less one. */
  double extraReceived() {
    return (double) received / offered - 1;
  }
}
