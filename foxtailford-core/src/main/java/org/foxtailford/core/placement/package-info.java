/** Placement of slices over upstreams. */
@NullMarked
package org.foxtailford.core.placement;

import org.jspecify.annotations.NullMarked;
