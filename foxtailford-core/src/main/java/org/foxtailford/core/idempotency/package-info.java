/**
 * At most one run of each non-idempotent request: records of request ids at several entry VMs, the
 * claims that coordinators make on them, and the hand-over of records when the holders change.
 */
@NullMarked
package org.foxtailford.core.idempotency;

import org.jspecify.annotations.NullMarked;
