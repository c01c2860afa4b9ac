/** Membership of entry VMs, and detection of pauses of this process. */
@NullMarked
package org.foxtailford.core.membership;

import org.jspecify.annotations.NullMarked;
