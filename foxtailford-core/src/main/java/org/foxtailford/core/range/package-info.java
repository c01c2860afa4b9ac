/** Exclusive ownership of key ranges by upstreams under a hold time. */
@NullMarked
package org.foxtailford.core.range;

import org.jspecify.annotations.NullMarked;
