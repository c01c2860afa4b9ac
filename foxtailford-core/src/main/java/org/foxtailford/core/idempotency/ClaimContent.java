package org.foxtailford.core.idempotency;

import org.foxtailford.core.util.Assert;

/**
 * The request that a claim is for.
 *
 * @param service its service
 * @param requestId id that its caller gave
 * @param fingerprint hash of its content, the same for each resend
 * @param firstSend whether its caller promises that it never sent the id before
 * @param runMs time within which it ends, in milliseconds
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
