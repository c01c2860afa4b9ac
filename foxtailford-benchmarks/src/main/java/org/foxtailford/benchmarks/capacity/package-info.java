/** Measured slopes and the capacity that follows from them. */
@NullMarked
package org.foxtailford.benchmarks.capacity;

import org.jspecify.annotations.NullMarked;
