/** Which entry VMs are live, and the tree along which state spreads among them. */
@NullMarked
package org.foxtailford.core.membership;

import org.jspecify.annotations.NullMarked;
