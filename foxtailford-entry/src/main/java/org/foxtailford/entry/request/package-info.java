/** Scheduling of callers' requests: routing, queueing, sending, retries and answers. */
@NullMarked
package org.foxtailford.entry.request;

import org.jspecify.annotations.NullMarked;
