package org.foxtailford.benchmarks.requests;

/**
 * Load of a run.
 *
 * @param load offered requests as a share of what all upstreams together can run
 * @param seconds time that is measured, after the warm-up
 * @param upstreamQueue requests that an upstream lets wait beyond those that it runs
 * @param seed seed of the random numbers
 */
record LoadProfile(double load, int seconds, int upstreamQueue, long seed) {}
