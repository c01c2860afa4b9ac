/** Exclusive ownership of key ranges: fences, leases, grants and the ownership map. */
@NullMarked
package org.foxtailford.core.ownership;

import org.jspecify.annotations.NullMarked;
