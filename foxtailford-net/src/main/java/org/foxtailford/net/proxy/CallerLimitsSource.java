package org.foxtailford.net.proxy;

import org.foxtailford.core.route.CallerLimits;

/** Gives the limits for callers that are in force. */
@FunctionalInterface
public interface CallerLimitsSource {

  /** Returns the limits. */
  CallerLimits get();
}
