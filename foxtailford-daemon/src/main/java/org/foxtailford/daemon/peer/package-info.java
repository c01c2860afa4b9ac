/** Links to other entry VMs, and the exchange of heartbeats, owners and homes over them. */
@NullMarked
package org.foxtailford.daemon.peer;

import org.jspecify.annotations.NullMarked;
