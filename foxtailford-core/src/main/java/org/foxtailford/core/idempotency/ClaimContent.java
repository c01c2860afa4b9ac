package org.foxtailford.core.idempotency;

import org.foxtailford.core.util.Assert;

/**
 * Identifies the request that a claim covers.
 *
 * @param service name of the service; not empty
 * @param requestId id assigned by the caller; not empty
 * @param fingerprint hash of the request's content, equal for every retry by the caller
 * @param firstSend whether the caller guarantees that it never sent this id before
 * @param runMs time within which the run ends, in milliseconds
 */
public record ClaimContent(
    String service, String requestId, long fingerprint, boolean firstSend, long runMs) {

  public ClaimContent {
    Assert.hasLength(service, "service");
    Assert.hasLength(requestId, "requestId");
  }

  String key() {
    return RosterView.recordKey(service, requestId);
  }
}
