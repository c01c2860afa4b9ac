/** Comparison of placement policies on generated workloads. */
@NullMarked
package org.foxtailford.benchmarks.placement;

import org.jspecify.annotations.NullMarked;
