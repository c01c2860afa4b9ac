/** Load of slices and keys as entry VMs see it. */
@NullMarked
package org.foxtailford.core.load;

import org.jspecify.annotations.NullMarked;
