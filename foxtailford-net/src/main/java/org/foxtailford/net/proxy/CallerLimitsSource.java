package org.foxtailford.net.proxy;

import org.foxtailford.core.route.CallerLimits;

/** Supplies the limits for callers that are currently in force. */
@FunctionalInterface
public interface CallerLimitsSource {

  /** Returns the current limits. */
  CallerLimits get();
}
