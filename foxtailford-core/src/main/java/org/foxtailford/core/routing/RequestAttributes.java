package org.foxtailford.core.routing;

import java.util.Optional;

/**
 * Attributes of a request that the routing decision depends on.
 *
 * @param service first segment of the path
 * @param kind second segment of the path
 * @param key key of the request; empty if it has none
 * @param requestId request id that the caller gave; empty if it gave none
 * @param deadlineMs reading of this VM's clock by which the answer must have arrived
 * @param hops number of entry VMs that have relayed the request
 */
public record RequestAttributes(
    String service,
    String kind,
    Optional<String> key,
    Optional<String> requestId,
    long deadlineMs,
    int hops) {}
