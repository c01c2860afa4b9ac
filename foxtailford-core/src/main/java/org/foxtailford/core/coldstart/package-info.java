/**
 * Slow start of upstreams: limits the requests of all entry VMs together to a cold upstream. The
 * limit is exact because only the entry VM that holds the upstream's gate, under a lease from the
 * leader, sends to it.
 */
@NullMarked
package org.foxtailford.core.coldstart;

import org.jspecify.annotations.NullMarked;
