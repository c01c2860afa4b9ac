/** At-most-once runs and the refusal of poison requests around each attempt at an upstream. */
@NullMarked
package org.foxtailford.daemon.idempotency;

import org.jspecify.annotations.NullMarked;
