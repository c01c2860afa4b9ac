/** The set of links to other entry VMs. */
@NullMarked
package org.foxtailford.daemon.peer;

import org.jspecify.annotations.NullMarked;
