/** Exclusive ownership of key ranges by upstreams, under grants that expire. */
@NullMarked
package org.foxtailford.core.range;

import org.jspecify.annotations.NullMarked;
