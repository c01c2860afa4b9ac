package org.foxtailford.daemon.request;

import org.foxtailford.core.util.Assert;

/**
 * A sender together with the guard that each of its attempts must pass.
 *
 * @param guard decides whether an attempt may be sent
 * @param sender sends the attempts that the guard allows
 */
public record GuardedSender(AttemptGuard guard, UpstreamSender sender) {

  public GuardedSender {
    Assert.notNull(guard, "guard");
    Assert.notNull(sender, "sender");
  }
}
