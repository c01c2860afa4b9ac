/** Topology of the entry VMs for the propagation of heartbeats and state. */
@NullMarked
package org.foxtailford.core.topology;

import org.jspecify.annotations.NullMarked;
