/** Trees of entry VMs along which state and heartbeats travel. */
@NullMarked
package org.foxtailford.core.topology;

import org.jspecify.annotations.NullMarked;
