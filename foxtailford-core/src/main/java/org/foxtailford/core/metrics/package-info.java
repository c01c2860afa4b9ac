/** Counters of requests, refusals, retries and ownership changes. */
@NullMarked
package org.foxtailford.core.metrics;

import org.jspecify.annotations.NullMarked;
