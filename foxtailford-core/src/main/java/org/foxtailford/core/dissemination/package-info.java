/** Versioned state that spreads from a leader: snapshots and changes since a version. */
@NullMarked
package org.foxtailford.core.dissemination;

import org.jspecify.annotations.NullMarked;
