package org.foxtailford.testkit.experiment;

import java.util.Optional;

/**
 * A request that is due at a time.
 *
 * @param dueMicros when, in microseconds since the load began
 * @param service service to name
 * @param kind kind of request
 * @param idempotent whether the kind is idempotent
 * @param key key to name, if the service has keys
 */
public record Arrival(
    long dueMicros, String service, String kind, boolean idempotent, Optional<String> key) {}
