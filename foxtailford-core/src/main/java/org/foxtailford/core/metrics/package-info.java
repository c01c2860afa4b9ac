/** Meters of requests, refusals, retries, ownership changes and configuration. */
@NullMarked
package org.foxtailford.core.metrics;

import org.jspecify.annotations.NullMarked;
