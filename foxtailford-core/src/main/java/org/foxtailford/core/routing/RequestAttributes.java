package org.foxtailford.core.routing;

import java.util.Optional;

/**
 * What the routing decision needs to know of a request.
 *
 * @param service first segment of the path
 * @param kind second segment of the path
 * @param key key of the request, if it names one
 * @param requestId id that the caller gave, if any
 * @param deadlineMs reading of this VM's clock by which the answer must be there
 * @param hops number of entry VMs that relayed it
 */
public record RequestAttributes(
    String service,
    String kind,
    Optional<String> key,
    Optional<String> requestId,
    long deadlineMs,
    int hops) {}
