/**
 * Ensures that each non-idempotent request runs at most once: records of request ids replicated on
 * several entry VMs, claims on those records, and their handover when the holders change.
 */
@NullMarked
package org.foxtailford.core.idempotency;

import org.jspecify.annotations.NullMarked;
