/**
 * At-most-once execution of requests, and refusal of poison requests, per attempt at an upstream.
 */
@NullMarked
package org.foxtailford.daemon.idempotency;

import org.jspecify.annotations.NullMarked;
