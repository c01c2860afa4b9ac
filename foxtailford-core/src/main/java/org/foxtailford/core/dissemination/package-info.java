/** Dissemination of versioned ownership state from a leader, as snapshots and deltas. */
@NullMarked
package org.foxtailford.core.dissemination;

import org.jspecify.annotations.NullMarked;
