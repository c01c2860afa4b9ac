/** Sole ownership of key ranges: fences, leases, grants and the map of owners. */
@NullMarked
package org.foxtailford.core.ownership;

import org.jspecify.annotations.NullMarked;
