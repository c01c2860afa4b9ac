/**
 * Measurement of the load of slices and keys, recorded by entry VMs and aggregated by the leader.
 */
@NullMarked
package org.foxtailford.core.load;

import org.jspecify.annotations.NullMarked;
