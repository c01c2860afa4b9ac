package org.foxtailford.daemon.request;

import org.foxtailford.core.util.Assert;

/**
 * A sender and the guard that stands before each of its attempts.
 *
 * @param guard may refuse an attempt
 * @param sender sends what the guard lets through
 */
public record GuardedSender(AttemptGuard guard, UpstreamSender sender) {

  public GuardedSender {
    Assert.notNull(guard, "guard");
    Assert.notNull(sender, "sender");
  }
}
