/**
 * Slow start of upstreams, exact over all entry VMs: while an upstream is cold, only the holder of
 * its gate sends to it.
 */
@NullMarked
package org.foxtailford.core.coldstart;

import org.jspecify.annotations.NullMarked;
